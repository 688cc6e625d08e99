package sidecar

import (
	"maps"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/suspicion"
)

// weigh takes an outcome for the suspicion, beside how the others do.
func (t *task) weigh(now time.Time, saw detect.Observation, others detect.Baseline) {
	if t.config.Off.Has(experiment.Suspicion) {
		return
	}
	begins := false
	switch saw.Outcome {
	case detect.OK:
		if !saw.WasOverdue && !saw.PastTarget {
			t.noteGood(now, now.Add(-saw.Took))
			return
		}
		begins = t.suspicion.RecordSlowness(now, suspicion.Slow)
	case detect.Refused, detect.Lost:
		begins = t.suspicion.RecordFailure(now, suspicion.Broken)
	case detect.Error:
		if weight := suspicion.FailureWeight(others.Failure); weight > 0 { // else the others fail as much
			begins = t.suspicion.RecordFailure(now, weight)
		}
	case detect.TimedOut, detect.Overdue:
		begins = t.suspicion.RecordSlowness(now, suspicion.Overdue)
	}
	if begins {
		t.log(event.ServerSuspected, "outcome", saw.Outcome, "mostly_late", t.suspicion.MostlySlow())
		t.turnAwayWaiting(now)
	}
}

// turnAwayWaiting refuses every waiting request, since they are better served
// elsewhere.
func (t *task) turnAwayWaiting(now time.Time) {
	for _, id := range t.queue.Clear() {
		t.reply(id, refused(result.Suspected, t.suspicion.RetryAfter(now)))
	}
}

// noteGood takes a good answer in good time to a request that began then.
func (t *task) noteGood(now, began time.Time) {
	if t.suspicion.RecordGood(now, began) {
		t.trust(now)
	}
}

// began takes it that a request was given a slot.
func (t *task) began(now time.Time) {
	if t.suspicion.Suspected() {
		t.suspicion.ProbeSent(now)
		t.log(event.ServerProbed, "good", t.suspicion.GoodInARow())
	}
}

// noteSurvived ends the suspicion if a probe that still runs shows enough.
func (t *task) noteSurvived(now time.Time) {
	if t.suspicion.ProbeSurvived(now) {
		t.trust(now)
	}
}

// trust ends the suspicion, and an ejection that began meanwhile: the answers that
// end the one are proof enough for the other.
func (t *task) trust(now time.Time) {
	t.log(event.ServerTrusted)
	t.config.Peer.Trusted(slices.Collect(maps.Keys(t.turnedAway)), t.declared.BackendServer.Name)
	clear(t.turnedAway)
	if t.subject.State(now) != detect.Serving {
		t.subject.Restore()
		t.comeBack("answered well while it was suspected")
	}
}
