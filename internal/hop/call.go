package hop

import (
	"time"

	"github.com/tideliftd/tidelift/internal/body"
)

// Call holds the ingress's instructions to a sidecar for a caller's request.
type Call struct {
	// BackendServer is the backend server to run the request.
	BackendServer string
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// LatencyTargetLeft is the time that remains of the request's latency target; zero or less if
	// the target has passed.
	LatencyTargetLeft time.Duration
	// LatencyTarget is the route's latency target; zero if unknown.
	LatencyTarget time.Duration
	// SlowAfter is how long a request of the route runs before it counts as slow, because nearly
	// all others have ended by then; zero if unknown.
	SlowAfter time.Duration
	// TypicalLatency is how long an answer of the route usually takes; zero if unknown.
	TypicalLatency time.Duration
	// Customer is the customer that the request is for; it may be empty.
	Customer string
	// NonIdempotent means that the request must not run more than once.
	NonIdempotent bool
	// WantReservation requests a reservation instead of running the request.
	WantReservation bool
	// Reservation is the ID of a reservation that the sidecar granted; it may be empty.
	Reservation string
	// Origin is the service of the host where the request began; it may be empty.
	Origin string
	// Priority is the request's rank in a queue; 0 is served first.
	Priority int
	// DespiteSuspicion forbids a refusal because of suspicion, since no other backend server
	// accepts the request.
	DespiteSuspicion bool
	// RefuseIfBusy requests a refusal instead of a wait for a slot.
	RefuseIfBusy bool
	// RefuseIfHanging requests a refusal if the backend server seems to hang: a request is slow
	// there, and no later one has been answered successfully.
	RefuseIfHanging bool
	// Retry means that the request has reached a backend server before, or may still reach one, so
	// that this attempt counts against the service's retry limit.
	Retry bool
	// Body is the request's body, for fingerprints. It is not part of the encoded call.
	Body *body.Body
	// Host is the name of the ingress's host.
	Host string
	// Baseline describes the performance of the service's other backend servers, as detect.Baseline
	// encodes it; it may be empty.
	Baseline string
	// ServerLimit is the limit that the backend server named in its last answer to this host, in
	// requests a second; zero if none. It has a header of its own.
	ServerLimit float64
	// Long is set if the rules for long requests apply to the request at the ingress: it is long itself, or a
	// long request calls it.
	Long bool
	// Route is the name of the request's route, its host name followed by its path, if the rules
	// for long requests apply to it at the ingress; otherwise it is empty. It has a header of its own.
	Route string
}
