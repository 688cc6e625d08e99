package failures

import (
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/result"
)

// table has a row for each result code, by its number.
var table = map[int]Meaning{
	// The request itself is wrong.
	result.MalformedRequest.Number: {Final: true},
	result.NoRoute.Number:          {},
	result.AmbiguousFraming.Number: {},
	result.HeadersTooLarge.Number:  {},
	result.BodyTooLarge.Number:     {},
	result.BadDeadline.Number:      {},
	result.UpgradeRefused.Number:   {},
	result.ProtocolVersion.Number:  {},
	result.KeyMissing.Number:       {},
	result.KeyUnknown.Number:       {},

	// The request is refused on its own account or its customer's, whichever backend server is asked.
	result.CustomerShare.Number:     {Final: true, NeedsRetryAfter: true},
	result.PlaceLost.Number:         {Final: true, NeedsRetryAfter: true},
	result.CustomerLimit.Number:     {NeedsRetryAfter: true},
	result.Quarantined.Number:       {Final: true}, // it would be refused again
	result.DeadlineBeforeRun.Number: {Final: true},
	result.CancelledBefore.Number:   {Final: true},

	// The daemon that was asked cannot serve it.
	result.NotReady.Number: {NeedsRetryAfter: true},
	result.NoneAble.Number: {NeedsRetryAfter: true},

	// The backend server takes no work.
	result.Stopping.Number:      {Target: NotAccepting, NeedsRetryAfter: true},
	result.Draining.Number:      {Target: NotAccepting, NeedsRetryAfter: true},
	result.Ejected.Number:       {Target: NotAccepting, NeedsRetryAfter: true},
	result.UnknownServer.Number: {Target: NotAccepting, NeedsRetryAfter: true},

	// It does not take this request now.
	result.Busy.Number:         {Target: NoSlot, NeedsRetryAfter: true},
	result.QueueFull.Number:    {Target: QueueFull, NeedsRetryAfter: true},
	result.QueueTooSlow.Number: {Target: QueueFull, NeedsRetryAfter: true},
	result.Suspected.Number:    {Target: Suspected, NeedsRetryAfter: true},
	result.Unproven.Number:     {Target: Hanging, NeedsRetryAfter: true},
	result.RetryLimit.Number:   {Target: NoRetryBudget, NeedsRetryAfter: true},

	// The request did not come to run there.
	result.ReservationExpired.Number: {NeedsRetryAfter: true},
	result.MovedOn.Number:            {NeedsRetryAfter: true},
	result.ConnectionUnused.Number:   {},
	result.NotTaken.Number:           {Reached: true, NeedsRetryAfter: true},
	result.Misdirected.Number:        {Reached: true, NeedsRetryAfter: true},

	// The backend server or its daemon cannot be reached.
	result.PeerUnreachable.Number:       {Target: HostUnreachable, Evidence: detect.ConnectionRefused, NeedsRetryAfter: true},
	result.ReservationUnanswered.Number: {Target: HostUnresponsive, Evidence: detect.TimedOut, NeedsRetryAfter: true},
	result.ServerUnreachable.Number:     {Target: Unreachable, Evidence: detect.ConnectionRefused, NeedsRetryAfter: true},

	// The request may have run.
	result.DeadlineWhileRunning.Number: {Final: true, Reached: true, Evidence: detect.TimedOut},
	result.CallerGone.Number:           {Final: true, Reached: true},
	result.StoppedWhileRunning.Number:  {Reached: true},
	result.AttemptOverdue.Number:       {Reached: true, Evidence: detect.TimedOut},
	result.ConnectionLost.Number:       {Reached: true, Evidence: detect.ConnectionLost},
	result.UnframedAnswer.Number:       {Reached: true, Evidence: detect.ConnectionLost},
	result.AnswerCut.Number:            {Reached: true, Evidence: detect.ConnectionLost},
	result.SpoiltAnswer.Number:         {Reached: true, Evidence: detect.ConnectionLost},
	result.ServerFailed.Number:         {Reached: true, Evidence: detect.Error},
	result.ServerError.Number:          {Reached: true}, // the answer that it stands for was evidence already

	// Operators' calls, with which no sidecar answers a request.
	result.BadDeclaration.Number:  {},
	result.RevisionChanged.Number: {},
	result.PlatformDown.Number:    {NeedsRetryAfter: true},
	result.NotDeclared.Number:     {},
	result.ChangeUnknown.Number:   {Reached: true},
	result.ValueTooLarge.Number:   {},
	result.MalformedCall.Number:   {},
	result.ChangeIDReused.Number:  {},
	result.TokenRefused.Number:    {},
	result.RoleRefused.Number:     {},
	result.PeerSilent.Number:      {Reached: true, NeedsRetryAfter: true},
}
