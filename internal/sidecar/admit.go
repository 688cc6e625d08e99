package sidecar

import (
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/runs"
)

// offer submits one request to admission control and applies the decision.
func (t *task) offer(now time.Time, m *offerMessage) {
	t.adoptLimit(now, m.serverLimit)
	t.suspicion.RecordOffer(now)
	serverState := t.serverState(now, m)
	decision := t.queue.Admit(now, &serverState, m.attempt, m.request)
	if decision.Evicted != 0 {
		t.reply(decision.Evicted, refused(result.PlaceLost, t.queue.RetryAfter()))
	}
	if decision.Verdict == admission.Queued {
		t.waiting[m.request.ID] = m.reply
		return
	}
	if decision.Verdict == admission.Granted {
		t.probationInFlight = t.probationInFlight || decision.Probation
		t.recordSlotGranted(now, m.host, m.attempt)
		m.reply <- grant{probation: decision.Probation}
		return
	}
	if decision.Verdict == admission.RefusedSuspected {
		t.refusedHosts[m.host] = true
	}
	if decision.Verdict == admission.RefusedTooSlow || decision.Verdict == admission.RefusedFull {
		t.refusedAt = now
	}
	m.reply <- refused(refusalCode(decision.Verdict), decision.RetryAfter)
}

// runOf returns the run that the offered request will be.
func (t *task) runOf(m *offerMessage) runs.Run {
	return runs.Run{
		Service: t.declared.Service.Name, Route: m.route, Long: m.long, Retry: m.attempt.Retry,
	}
}

// serverState returns the state of the backend server that an admission decision depends on.
func (t *task) serverState(now time.Time, m *offerMessage) admission.Server {
	if t.isDraining(now) {
		return admission.Server{Draining: true}
	}
	if t.declared.evacuated {
		return admission.Server{Evacuated: true}
	}
	s := admission.Server{State: detect.Serving}
	t.checkSurvivedProbe(now)
	switch {
	case t.suspicion.Suspected():
		s.Suspicion = t.suspicionState(now)
	case t.isEjected(now):
		s.State = t.subject.State(now)
		s.EjectedFor = t.subject.EjectedFor(now)
		s.ProbationInFlight = t.probationInFlight
	}
	s.Hanging = m.attempt.RefuseIfHanging && (t.suspicion.Hanging(now) || !t.suspicion.Proven(now))
	s.RetryLeft = m.attempt.Retry && t.config.Retries.MayRun(now, t.runOf(m))
	s.NamesLimit = t.limit.PerSecond() > 0
	s.Size = t.size(now)
	return s
}

// suspicionState returns the suspicion of a backend server that is suspected.
func (t *task) suspicionState(now time.Time) admission.Suspicion {
	return admission.Suspicion{
		Suspected:             true,
		MostlySlow:            t.suspicion.MostlySlow(),
		MayProbe:              t.suspicion.MayProbe(now),
		MayProbeNonIdempotent: t.suspicion.MayProbeNonIdempotent(now),
		RetryAfter:            t.suspicion.RetryAfter(now),
	}
}

// refusalCode returns the result code of a refusal.
func refusalCode(verdict admission.Verdict) result.Code {
	switch verdict {
	case admission.RefusedDraining:
		return result.Draining
	case admission.RefusedEvacuated:
		return result.Evacuated
	case admission.RefusedSuspected:
		return result.Suspected
	case admission.RefusedEjected:
		return result.Ejected
	case admission.RefusedHanging:
		return result.Unproven
	case admission.RefusedRetry:
		return result.RetryLimit
	case admission.RefusedLimited:
		return result.Limited
	case admission.RefusedBusy:
		return result.Busy
	case admission.RefusedTooSlow:
		return result.QueueTooSlow
	case admission.RefusedShare:
		return result.CustomerShare
	case admission.RefusedFull, admission.Granted, admission.Queued:
	}
	return result.QueueFull
}

// refused returns a refusal with its code and, if not zero, the time after which to retry.
func refused(code result.Code, after time.Duration) grant {
	return grant{err: result.New(code).WithRetryAfter(after)}
}
