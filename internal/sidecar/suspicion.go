package sidecar

import (
	"maps"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/suspicion"
)

// recordSuspicion records an outcome for the suspicion, weighted by the failure rate of the
// service's other backend servers.
func (t *task) recordSuspicion(now time.Time, observed detect.Observation, others detect.Baseline) {
	if t.config.Off.Has(experiment.Suspicion) {
		return
	}
	begins := false
	switch observed.Outcome {
	case detect.OK:
		if !observed.WasOverdue && !observed.PastTarget {
			t.recordSuccess(now, now.Add(-observed.Latency))
			return
		}
		begins = t.suspicion.RecordSlowness(now, suspicion.SlowWeight)
	case detect.ConnectionRefused, detect.ConnectionLost:
		begins = t.suspicion.RecordFailure(now, suspicion.BrokenConnectionWeight)
	case detect.Error:
		begins = t.recordError(now, observed.Quick, others.Failure)
	case detect.TimedOut, detect.Overdue:
		begins = t.suspicion.RecordSlowness(now, suspicion.OverdueWeight)
	}
	if begins {
		t.log(event.ServerSuspected, "outcome", observed.Outcome, "quick", observed.Quick, "mostly_late", t.suspicion.MostlySlow(),
			"others_failing", others.Failure, "others_known", others.TypicalLatency > 0)
		t.refuseWaiting(now)
	}
}

// recordError records an error answer and reports whether suspicion begins with it. It weighs nothing if the
// others fail as often.
func (t *task) recordError(now time.Time, quick bool, othersFailing float64) bool {
	weight, record := suspicion.ScaledErrorWeight(othersFailing), t.suspicion.RecordFailure
	if quick {
		weight, record = suspicion.ScaledQuickWeight(othersFailing), t.suspicion.RecordQuickFailure
	}
	if weight == 0 {
		t.suspicion.RecordSharedFailure()
		return false
	}
	return record(now, weight)
}

// refuseWaiting refuses every waiting request, so that the ingresses send them to other backend
// servers.
func (t *task) refuseWaiting(now time.Time) {
	for _, id := range t.queue.Clear() {
		t.reply(id, refused(result.Suspected, t.suspicion.RetryAfter(now)))
	}
}

// recordSuccess records an answer within its latency target to a request that started at began.
func (t *task) recordSuccess(now, began time.Time) {
	if t.suspicion.RecordSuccess(now, began) {
		t.clearSuspicion(now)
	}
}

// recordSlotGranted records that a request was granted a slot, which is a probe while the backend
// server is suspected.
func (t *task) recordSlotGranted(now time.Time, by string, a admission.Attempt) {
	t.suspicion.RecordStart(now)
	if t.suspicion.Suspected() {
		t.suspicion.RecordProbe(now)
		t.log(event.ServerProbed, "good", t.suspicion.ConsecutiveSuccesses(), "from", by, "once", a.NonIdempotent, "insist", a.DespiteSuspicion)
	}
}

// checkSurvivedProbe clears the suspicion if a probe that is still running counts as survived.
func (t *task) checkSurvivedProbe(now time.Time) {
	if t.suspicion.ProbeSurvived(now) {
		t.clearSuspicion(now)
	}
}

// clearSuspicion ends the suspicion, and an ejection that began during it, which would otherwise
// outlast the failure.
func (t *task) clearSuspicion(now time.Time) {
	t.log(event.ServerTrusted)
	t.config.Peer.ClearSuspicion(slices.Collect(maps.Keys(t.refusedHosts)), t.declared.BackendServer.Name)
	clear(t.refusedHosts)
	if t.subject.State(now) != detect.Serving {
		t.subject.ReinstateFully(now)
		t.returnToService("recovered while suspected")
	}
}
