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

// recordSuspicion records an outcome for the suspicion, weighed by how the others do.
func (t *task) recordSuspicion(now time.Time, saw detect.Observation, others detect.Baseline) {
	if t.config.Off.Has(experiment.Suspicion) {
		return
	}
	begins := false
	switch saw.Outcome {
	case detect.OK:
		if !saw.WasOverdue && !saw.PastTarget {
			t.recordGood(now, now.Add(-saw.Latency))
			return
		}
		begins = t.suspicion.RecordSlowness(now, suspicion.SlowWeight)
	case detect.ConnectionRefused, detect.ConnectionLost:
		begins = t.suspicion.RecordFailure(now, suspicion.BrokenConnectionWeight)
	case detect.Error:
		if weight := suspicion.ScaledErrorWeight(others.Failure); weight > 0 { // else the others fail as much
			begins = t.suspicion.RecordFailure(now, weight)
		}
	case detect.TimedOut, detect.Overdue:
		begins = t.suspicion.RecordSlowness(now, suspicion.OverdueWeight)
	}
	if begins {
		t.log(event.ServerSuspected, "outcome", saw.Outcome, "mostly_late", t.suspicion.MostlySlow(),
			"others_failing", others.Failure, "others_known", others.TypicalLatency > 0)
		t.refuseWaiting(now)
	}
}

// refuseWaiting refuses every waiting request, since they are better served
// elsewhere.
func (t *task) refuseWaiting(now time.Time) {
	for _, id := range t.queue.Clear() {
		t.reply(id, refused(result.Suspected, t.suspicion.RetryAfter(now)))
	}
}

// recordGood records an answer within its latency target to a request that began then.
func (t *task) recordGood(now, began time.Time) {
	if t.suspicion.RecordSuccess(now, began) {
		t.trust(now)
	}
}

// slotGiven records that a request was given a slot.
func (t *task) slotGiven(now time.Time) {
	if t.suspicion.Suspected() {
		t.suspicion.RecordProbe(now)
		t.log(event.ServerProbed, "good", t.suspicion.ConsecutiveSuccesses())
	}
}

// countSurvivedProbe ends the suspicion if a probe that still runs shows enough.
func (t *task) countSurvivedProbe(now time.Time) {
	if t.suspicion.ProbeSurvived(now) {
		t.trust(now)
	}
}

// trust ends the suspicion, and an ejection that began meanwhile. Source: ejections of backend
// servers that fail for nine seconds lasted up to twenty-two without that.
func (t *task) trust(now time.Time) {
	t.log(event.ServerTrusted)
	t.config.Peer.ClearSuspicion(slices.Collect(maps.Keys(t.refusedHosts)), t.declared.BackendServer.Name)
	clear(t.refusedHosts)
	if t.subject.State(now) != detect.Serving {
		t.subject.ReinstateFully(now)
		t.backInService("answered well while it was suspected")
	}
}
