// Package attempts decides how a request is sent to the backend servers of a service: whether a
// failed attempt may be retried, which backend server gets the next one, when a hedge is sent, and
// which failure is returned to the caller.
//
// A History records the request's attempts so far; it belongs to the goroutine that serves the
// request. The Request and the time are passed in; the package has no clock, goroutine or socket.
// It relies on package failures to classify a failure, and on package balance for the
// backend servers of the service and their known load.
//
// # Usage
//
//	var h attempts.History
//	for {
//		c := attempts.Choose(time.Now(), request, &h)
//		if c.Target == nil {
//			return h.NoTargetFailure(...)
//		}
//		failure := send(c) // on success, the answer is passed on instead
//		h.Record(c.Target, failure, remote)
//		if !h.MayRetry(time.Now(), request, false) {
//			return h.Failure()
//		}
//	}
//
// # Rules
//
// Whether a failed attempt may be retried (retry.go):
//
//   - A refusal by a sidecar costs the backend servers nothing, so others may be queried: a few
//     if queues are full, any number if the refusing backend server accepts no requests or if the
//     request is a subrequest.
//   - An attempt that reached a backend server is retried elsewhere within the route's attempts and
//     the service's retry limit, and only if the request did not run or may run more than once.
//   - A long request ends after three refusals for lack of retries for its calls, whatever was
//     refused in between.
//   - A failure that another backend server would not change is final: the customer's own limits,
//     the deadline, a caller that disconnected, a malformed request.
//
// Which backend server gets the next attempt (choose.go), in order of preference:
//
//   - for an idempotent request's first attempt, a backend server whose recovery has to be tested;
//   - one that may have a free slot, of which a few are queried;
//   - the one with the shortest wait for a slot;
//   - a suspected one, unless queues are full or, for a retry of a long request, others lack retry budget.
//
// When and where a hedge is sent (hedge.go): once the newest attempt is slow, if the request may
// run more than once and has attempts left, to a backend server that reserves a slot for it. The
// first answer ends all other attempts; an attempt that began before the answered one is overdue.
package attempts

import (
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
)

// Service holds the backend servers and settings of the service that a request is for.
type Service struct {
	// Pool holds the backend servers.
	Pool *balance.Pool
	// RetryLeft reports whether a retry is likely to be available at that time.
	RetryLeft func(now time.Time) bool
	// IgnoreHanging allows requests that must not be lost to be sent to backend servers that appear
	// to hang.
	IgnoreHanging bool
	// NoHedges disables hedges.
	NoHedges bool
}

// Request describes one request.
type Request struct {
	// Service is the service that the request is for.
	Service *Service
	// NonIdempotent is set if the request must not run more than once.
	NonIdempotent bool
	// Subrequest is set if a backend server sent the request while running another one, so that a
	// refusal wastes the work done for that one.
	Subrequest bool
	// Long is set if the route's latency target is so long that the rules for long requests apply.
	Long bool
	// MaxSent is the maximum number of backend servers that the request may reach.
	MaxSent int
	// StartedAt is the time at which the request arrived.
	StartedAt time.Time
	// LatencyTargetAt is the time by which the request should be answered. Until then it may wait in
	// a crowded queue.
	LatencyTargetAt time.Time
}
