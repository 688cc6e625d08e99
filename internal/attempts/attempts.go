// Package attempts decides what becomes of a request that is sent to one backend server after
// another: whether it may be tried again, which backend server gets it, when a hedge of it is sent,
// and what its caller is told in the end.
//
// A History is what became of a request's attempts so far; it belongs to whoever serves the
// request. Everything else is given: the Terms of the request and the time. The package has no
// clock, goroutine or socket. It relies on failures for what a failure means, and on balance for
// the backend servers of the service and what is known of their load.
//
// # Usage
//
//	var h attempts.History
//	for {
//		c := attempts.Choose(time.Now(), terms, &h)
//		if c.Target == nil {
//			return h.NoneLeft(...)
//		}
//		failure := send(c) // the answer is passed on if there is none
//		h.Record(c.Target, failure, far)
//		if !h.MayRetry(time.Now(), terms, false) {
//			return h.Failure()
//		}
//	}
//
// # Rules
//
// May a failed attempt be tried again (retry.go)?
//
//   - A refusal by a sidecar cost the backend servers nothing, so another may be asked; a few
//     times if queues are full, as long as there is one if the refusing one takes no work at all
//     or a backend server needs the answer.
//   - What reached a backend server is tried elsewhere within the route's attempts and the
//     service's retry limit, and only if it did not run or may run twice.
//   - What another backend server would not change is final: the customer's own limits, the
//     deadline, a caller that went away, a malformed request.
//
// Which backend server gets it (choose.go)? The first of these that there is:
//
//   - for an idempotent request's first attempt, a backend server that is to show whether it is
//     well again;
//   - one that may have a free slot, of which a few are asked;
//   - the one where the wait for a slot is shortest;
//   - a suspected one, unless queues are full.
//
// When is a hedge sent, and where (hedge.go)? Once the attempt sent last is slow, if the request may
// run more than once and has attempts left, to a backend server that keeps a slot for it. The first
// answer ends all others; an attempt that began before the one that was answered is overdue.
package attempts

import (
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
)

// Service is the service that a request is for.
type Service struct {
	// Pool is its backend servers.
	Pool *balance.Pool
	// RetryLeft reports whether a retry is likely to be had then.
	RetryLeft func(now time.Time) bool
	// IgnoreHanging says that requests that must not be lost are sent to backend servers that
	// seem to hang, too.
	IgnoreHanging bool
	// NoHedges says that no hedges are sent.
	NoHedges bool
}

// Request are what holds for one request.
type Request struct {
	// Service is the service that it is for.
	Service *Service
	// NonIdempotent says that it must not run more than once.
	NonIdempotent bool
	// Subrequest says that a backend server sent it for a request that it is running, so that
	// a refusal wastes the work on that one.
	Subrequest bool
	// MaxSent is how many backend servers it may reach.
	MaxSent int
	// StartedAt is when it came.
	StartedAt time.Time
	// TargetAt is until when an answer is worth most, and it may wait in a crowded queue.
	TargetAt time.Time
}
