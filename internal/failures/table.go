package failures

import (
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/result"
)

// table maps the number of each result code to its classification.
var table = map[int]Classification{
	// The request itself is invalid.
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

	// The request is refused because of itself or its customer, regardless of the backend server.
	result.CustomerShare.Number:     {Final: true, NeedsRetryAfter: true},
	result.PlaceLost.Number:         {Final: true, NeedsRetryAfter: true},
	result.CustomerLimit.Number:     {NeedsRetryAfter: true},
	result.Quarantined.Number:       {Final: true}, // another backend server would refuse it as well
	result.DeadlineBeforeRun.Number: {Final: true},
	result.CancelledBefore.Number:   {Final: true},

	// The daemon cannot serve the request.
	result.NotReady.Number: {NeedsRetryAfter: true},
	result.NoneAble.Number: {NeedsRetryAfter: true},

	// The backend server accepts no requests.
	result.Stopping.Number:      {Target: NotAccepting, NeedsRetryAfter: true},
	result.Draining.Number:      {Target: NotAccepting, NeedsRetryAfter: true},
	result.Ejected.Number:       {Target: NotAccepting, NeedsRetryAfter: true},
	result.UnknownServer.Number: {Target: NotAccepting, NeedsRetryAfter: true},
	result.Evacuated.Number:     {Target: NotAccepting, NeedsRetryAfter: true},

	// The backend server does not accept this request now.
	result.Busy.Number:         {Target: NoSlot, NeedsRetryAfter: true},
	result.Limited.Number:      {Target: Limited, NeedsRetryAfter: true},
	result.QueueFull.Number:    {Target: QueueFull, NeedsRetryAfter: true},
	result.QueueTooSlow.Number: {Target: QueueFull, NeedsRetryAfter: true},
	result.BodyMemory.Number:   {Target: QueueFull, NeedsRetryAfter: true},
	result.Crowded.Number:      {Target: QueueFull, NeedsRetryAfter: true},
	result.Suspected.Number:    {Target: Suspected, NeedsRetryAfter: true},
	result.Unproven.Number:     {Target: Hanging, NeedsRetryAfter: true},
	result.RetryLimit.Number:   {Target: NoRetryBudget, NeedsRetryAfter: true},

	// The request was not run by the backend server.
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
	result.ServerError.Number:          {Reached: true}, // the answer that it stands for has already been recorded as evidence

	// Operators' calls; no sidecar answers a request with these.
	result.BadDeclaration.Number:    {},
	result.RevisionChanged.Number:   {},
	result.PlatformDown.Number:      {NeedsRetryAfter: true},
	result.NotDeclared.Number:       {},
	result.ChangeUnknown.Number:     {Reached: true},
	result.ValueTooLarge.Number:     {},
	result.MalformedCall.Number:     {},
	result.ChangeIDReused.Number:    {},
	result.TokenRefused.Number:      {},
	result.RoleRefused.Number:       {},
	result.DeclaredElsewhere.Number: {},
	result.NoneLeft.Number:          {},
	result.PeerSilent.Number:        {Reached: true, NeedsRetryAfter: true},
}
