package admission

import (
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

// Server is what is known of the backend server when a request asks for a slot.
type Server struct {
	// Draining says that it finishes what it runs and takes nothing new.
	Draining bool
	// Suspicion is what is held against it.
	Suspicion Suspicion
	// State is whether it is ejected or in probation; EjectedFor is how long it still stays
	// ejected.
	State      detect.State
	EjectedFor time.Duration
	// ProbationInFlight says that a probation request is running.
	ProbationInFlight bool
	// Hanging says that a request is slow there and no later one has been answered well.
	Hanging bool
	// RetryLeft says that the retries that the calls of a retry will be are left in their
	// budgets, or may be borrowed.
	RetryLeft bool
	// Size is its slots and queue now.
	Size Config
}

// Suspicion is what is held against a backend server; see package suspicion.
type Suspicion struct {
	// Suspected says that requests are better sent elsewhere for a moment.
	Suspected bool
	// MostlySlow says that most of what is held against it was slow rather than failed.
	MostlySlow bool
	// MayProbe says that an idempotent request may find out how it does, MayProbeNonIdempotent that any may.
	MayProbe, MayProbeNonIdempotent bool
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Attempt is what a backend server has to know of an attempt beside its request for a slot.
type Attempt struct {
	// NonIdempotent says that the request must not run more than once.
	NonIdempotent bool
	// Retry says that the attempt is beyond its request's first.
	Retry bool
	// DespiteSuspicion says that nobody else takes the request.
	DespiteSuspicion bool
	// RefuseIfHanging asks for a refusal if the backend server seems to hang, RefuseIfBusy in
	// place of a wait.
	RefuseIfHanging, RefuseIfBusy bool
}

// Admit decides on one attempt: whether the backend server takes it at all, and then whether
// it gets a slot or a place in the queue. The first rule that applies decides.
func (q *Queue) Admit(now time.Time, s *Server, a Attempt, r Request) Decision {
	switch {
	case s.Draining:
		return Decision{Verdict: RefusedDraining}
	case s.Suspicion.Suspected && !s.Suspicion.takes(a):
		return Decision{Verdict: RefusedSuspected, RetryAfter: s.Suspicion.RetryAfter}
	case s.isEjected() && s.State == detect.Ejected:
		return Decision{Verdict: RefusedEjected, RetryAfter: retryafter.Ejected(s.EjectedFor)}
	case s.isEjected() && (a.NonIdempotent || s.ProbationInFlight):
		return Decision{Verdict: RefusedEjected, RetryAfter: retryafter.Probation}
	case a.RefuseIfHanging && s.Hanging:
		return Decision{Verdict: RefusedHanging}
	case a.Retry && !s.RetryLeft:
		return Decision{Verdict: RefusedRetry}
	}
	q.Resize(s.Size)
	if a.RefuseIfBusy && !q.HasSlot() {
		return Decision{Verdict: RefusedBusy, RetryAfter: q.RetryAfter()}
	}
	decision := q.Offer(now, r)
	decision.Probation = s.isEjected() && decision.Verdict == Granted
	return decision
}

// isEjected reports whether an ejection decides what the backend server takes. While it is
// suspected the suspicion does: its probes show sooner that it is well again.
func (s *Server) isEjected() bool {
	return s.State != detect.Serving && !s.Suspicion.Suspected
}

// takes reports whether a suspected backend server takes the request: one that nobody else
// takes, an idempotent one of which a hedge is sent in time if it is slow here too, or one that
// finds out how the backend server does.
func (s *Suspicion) takes(a Attempt) bool {
	switch {
	case a.DespiteSuspicion:
		return true
	case !a.NonIdempotent && (s.MostlySlow || s.MayProbe):
		return true
	default:
		return s.MayProbeNonIdempotent
	}
}
