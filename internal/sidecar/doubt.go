package sidecar

import (
	"maps"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/doubt"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/result"
)

// admitDoubted says whether a doubted backend server takes the request: one that nobody else
// takes, or a repeatable one that finds out how it does or is copied if it hangs.
func (t *task) admitDoubted(now time.Time, m offerMessage) *result.Error {
	if m.call.Insist || !m.call.Once && t.doubt.MostlyLate() {
		return nil
	}
	if !m.call.Once && t.doubt.MayProbe(now) || t.doubt.MayRisk(now) {
		return nil
	}
	t.turnedAway[m.call.Host] = true
	return refusal(result.Doubted, t.doubt.HeldFor(now))
}

// weigh takes an outcome for the doubt, beside how the others do.
func (t *task) weigh(now time.Time, saw detect.Observation, others detect.Reference) {
	begins := false
	switch saw.Outcome {
	case detect.OK:
		if !saw.WasOverdue && !saw.PastTarget {
			t.noteGood(now, now.Add(-saw.Took))
			return
		}
		begins = t.doubt.BadLate(now, doubt.Slow)
	case detect.Refused, detect.Lost:
		begins = t.doubt.Bad(now, doubt.Broken)
	case detect.Error:
		if weight := doubt.FailedAmong(others.Failure); weight > 0 { // else the others fail as much
			begins = t.doubt.Bad(now, weight)
		}
	case detect.TimedOut, detect.Overdue:
		begins = t.doubt.BadLate(now, doubt.Overdue)
	}
	if begins {
		t.log(event.ServerDoubted, "outcome", saw.Outcome, "mostly_late", t.doubt.MostlyLate())
		t.turnAwayWaiting(now)
	}
}

// turnAwayWaiting refuses every waiting request, since they are better served
// elsewhere.
func (t *task) turnAwayWaiting(now time.Time) {
	for _, id := range t.queue.Clear() {
		t.reply(now, id, grant{err: refusal(result.Doubted, t.doubt.HeldFor(now))})
	}
}

// noteGood takes a good answer in good time to a request that began then.
func (t *task) noteGood(now, began time.Time) {
	if t.doubt.Good(now, began) {
		t.trust(now)
	}
}

// began takes it that a request was given a slot, be it for a repeat or for the first time,
// which earns a part of a retry.
func (t *task) began(now time.Time, repeat bool) {
	if !repeat {
		t.retries.Earn(now)
	}
	if t.doubt.Doubted() {
		t.doubt.Probe(now)
		t.log(event.ServerProbed, "good", t.doubt.GoodInARow())
	}
}

// noteSurvived ends the doubt if a probe that still runs shows enough.
func (t *task) noteSurvived(now time.Time) {
	if t.doubt.Survived(now) {
		t.trust(now)
	}
}

// trust ends the doubt, and an ejection that began meanwhile: the answers that
// end the one are proof enough for the other.
func (t *task) trust(now time.Time) {
	t.log(event.ServerTrusted)
	t.config.Peer.Trusted(slices.Collect(maps.Keys(t.turnedAway)), t.declared.BackendServer.Name)
	clear(t.turnedAway)
	if t.subject.State(now) != detect.Serving {
		t.subject.Restore()
		t.comeBack("answered well while it was doubted")
	}
}
