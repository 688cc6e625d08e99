package hop

import (
	"time"

	"github.com/tideliftd/tidelift/internal/body"
)

// Call says what the ingress asks of a sidecar beside the caller's request.
type Call struct {
	// BackendServer is the one to run the request.
	BackendServer string
	// TimeLeft is what the caller's deadline leaves.
	TimeLeft time.Duration
	// TargetLeft is what is left of the time in which an answer is worth most; zero or
	// less if that is over.
	TargetLeft time.Duration
	// LatencyTarget is the time within which the route's answers are worth most; zero if it
	// is not known.
	LatencyTarget time.Duration
	// SlowAfter is how long a request of the route runs before it has outlasted nearly all
	// others; zero if that is not known.
	SlowAfter time.Duration
	// TypicalLatency is how long an answer of the route usually takes; zero if it is not known.
	TypicalLatency time.Duration
	// Customer is who the request is for; it may be empty.
	Customer string
	// NonIdempotent says that the request must not run more than once.
	NonIdempotent bool
	// WantReservation asks for a reservation in place of running anything.
	WantReservation bool
	// Reservation is the sidecar's leave to run the request; it may be empty.
	Reservation string
	// Origin is the service of the host where the request began; it may be
	// empty.
	Origin string
	// Priority is the request's rank in a queue; 0 is served first.
	Priority int
	// DespiteSuspicion says that nobody else takes the request, so that suspicion is no reason
	// to refuse it.
	DespiteSuspicion bool
	// RefuseIfBusy asks for a refusal in place of a wait for a slot.
	RefuseIfBusy bool
	// RefuseIfHanging asks for a refusal if the backend server seems to hang: a request is slow
	// there, and no later one has been answered well.
	RefuseIfHanging bool
	// Retry says that the request has reached a backend server before, or may yet, so that
	// this sending draws on the service's retry limit.
	Retry bool
	// Body is the request's body, for whoever has to look at it. It goes beside the call, not in it.
	Body *body.Body
	// Host is the ingress's host.
	Host string
	// Baseline is how the service's other backend servers do, as
	// detect.Baseline encodes it; it may be empty.
	Baseline string
}
