package admission

import (
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

// Server is the state of the backend server at the time of a request.
type Server struct {
	// Draining means that it finishes its running requests and accepts no new ones.
	Draining bool
	// Evacuated means that its data centre is evacuated.
	Evacuated bool
	// Suspicion is the state of the suspicion against it.
	Suspicion Suspicion
	// State says whether it is ejected or in probation; EjectedFor is the remaining ejection
	// time.
	State      detect.State
	EjectedFor time.Duration
	// ProbationInFlight means that a probation request is running.
	ProbationInFlight bool
	// Hanging means that it may hang or fail: a request is slow there and no later one has been
	// answered successfully, or none has recently shown that it runs requests.
	Hanging bool
	// RetryLeft means that the retry budgets of the calls that a retry will make have enough
	// left or can borrow.
	RetryLeft bool
	// NamesLimit means that the rate of grants is a limit that the backend server names.
	NamesLimit bool
	// Size is its current capacity.
	Size Config
}

// Suspicion is the state of the suspicion against a backend server; see package suspicion.
type Suspicion struct {
	// Suspected means that requests should go to other backend servers for now.
	Suspected bool
	// MostlySlow means that the suspicion rests mostly on slow requests rather than on failures.
	MostlySlow bool
	// MayProbe means that an idempotent request may be sent as a probe, MayProbeNonIdempotent
	// that a non-idempotent one may as well.
	MayProbe, MayProbeNonIdempotent bool
	// RetryAfter is the delay that a refused caller is given.
	RetryAfter time.Duration
}

// Attempt holds the properties of an attempt that matter for admission beyond its request for a
// slot.
type Attempt struct {
	// NonIdempotent means that the request must not run more than once.
	NonIdempotent bool
	// Retry means that the attempt is not the first one of its request.
	Retry bool
	// DespiteSuspicion means that no other backend server is left for the request.
	DespiteSuspicion bool
	// RefuseIfHanging requests a refusal if the backend server appears to hang, RefuseIfBusy one
	// instead of a wait for a slot.
	RefuseIfHanging, RefuseIfBusy bool
}

// Admit decides on one attempt: whether the backend server accepts it at all, and then whether
// it gets a slot or a place in the queue. The first rule that applies decides.
func (q *Queue) Admit(now time.Time, s *Server, a Attempt, r Request) Decision {
	switch {
	case s.Draining:
		return Decision{Verdict: RefusedDraining}
	case s.Evacuated:
		return Decision{Verdict: RefusedEvacuated}
	case s.Suspicion.Suspected && !s.Suspicion.accepts(a):
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
	if s.NamesLimit && !q.rate.allows() && (a.RefuseIfBusy || q.startsLate(now, r)) {
		return Decision{Verdict: RefusedLimited, RetryAfter: q.rate.wait(q.waiting + 1)}
	}
	if a.RefuseIfBusy && !q.HasSlot() {
		return Decision{Verdict: RefusedBusy, RetryAfter: q.RetryAfter()}
	}
	decision := q.Offer(now, r)
	decision.Probation = s.isEjected() && decision.Verdict == Granted
	return decision
}

// isEjected reports whether the ejection decides what the backend server accepts. While the backend
// server is suspected, the suspicion decides, since its probes show a recovery sooner.
func (s *Server) isEjected() bool {
	return s.State != detect.Serving && !s.Suspicion.Suspected
}

// accepts reports whether a suspected backend server accepts the attempt: one for which no other
// backend server is left, an idempotent one if the suspicion rests mostly on slow requests, since
// a hedge covers it, or a probe.
func (s *Suspicion) accepts(a Attempt) bool {
	switch {
	case a.DespiteSuspicion:
		return true
	case !a.NonIdempotent && (s.MostlySlow || s.MayProbe):
		return true
	default:
		return s.MayProbeNonIdempotent
	}
}
