// Package admission decides which requests a backend server runs, which wait for a slot, and
// which are refused immediately.
//
// A Queue holds the slots and the waiting requests of one backend server. Its methods take the
// state of the backend server, a request and the time, and return a decision; a Queue has no
// clock, goroutine or socket. The sidecar's task for the backend server owns it and carries
// out its decisions.
//
// # Usage
//
//	q := admission.NewQueue(admission.Config{Slots: 10, Depth: 20})
//	decision := q.Admit(now, &admission.Server{State: detect.Serving, Size: size}, admission.Attempt{}, admission.Request{ID: 1, Customer: "county-7"})
//	switch decision.Verdict { ... }
//	granted, expired := q.Done(now, took)
//
// File admit.go checks whether the backend server accepts a request at all, admission.go has
// the queue and the decision on an offered request, crowded.go handles a full queue, grant.go
// selects the request that gets a freed slot, rate.go limits the rate of grants, remove.go removes
// waiting requests, and line.go holds the waiting requests of one priority.
//
// # Order
//
// The first rule that applies decides (Queue.Admit, then Queue.Offer):
//
//  1. The backend server is draining, or its data centre is evacuated: refused.
//  2. It is suspected: refused, except for a request for which no other backend server is
//     left, a probe, and an idempotent request if the suspicion rests mostly on slow requests.
//     Ejection is not checked in this case.
//  3. It is ejected: refused. In probation it accepts one idempotent request at a time.
//  4. It appears to hang or is not proven to run requests, and the request is to be refused in that case: refused.
//  5. The request is a retry, and the retry budgets of the calls that it will make have
//     nothing left and cannot borrow: refused.
//  6. The backend server names a limit that is used up, and the request is not to wait or would miss its latency
//     target: refused.
//  7. No slot is free, and the request is not to wait: refused.
//  8. A slot is free: granted.
//  9. It would start too late, or the queue or its customer's share of it is full: refused.
//  10. Otherwise it waits.
//
// # Rules of the queue
//
//   - A free slot is granted immediately.
//   - A request that could not start before its deadline, given the service time of recent
//     requests, is refused immediately. So is one that would miss its latency target while
//     more requests wait than there are slots: the slot goes to a request that can still be in
//     time, and the caller gets its refusal early.
//   - Of two waiting requests the one with the lower priority number is served first, except
//     for one grant after every UrgentGrants, which prevents starvation. A more urgent request
//     may evict a less urgent one that has only just been queued.
//   - Of the requests of one priority those that can still meet their latency target are
//     served before those that are late in any case.
//   - Waiting customers of one priority take turns. A customer that has its fair share of the
//     queue leaves a place free for each other customer seen within ActiveFor, so that a flood
//     from one customer is refused immediately and the others still find a place.
//   - If the queue is full nevertheless, a customer with more waiting requests than another
//     loses its newest place, provided that the request was queued at most EvictWithin ago.
//   - While the rate of grants is limited, a slot without an available grant is not free.
//
// State is bounded: customers share a fixed number of buckets by hash, so two customers may
// share one turn. The hash is salted with the backend server's name, so that the same two
// customers collide at few backend servers. Service times are averaged with a weight of 1/16.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict is the outcome of an offered request.
type Verdict string

// The verdicts.
const (
	// Granted means that the request has a slot and runs now.
	Granted Verdict = "granted"
	// Queued means that the request waits for a slot.
	Queued Verdict = "queued"
	// RefusedFull means that the slots and the queue are full.
	RefusedFull Verdict = "refused-full"
	// RefusedTooSlow means that a slot would come after the deadline or latency target.
	RefusedTooSlow Verdict = "refused-too-slow"
	// RefusedShare means that the customer already has its share of a full queue.
	RefusedShare Verdict = "refused-share"
	// RefusedDraining means that the backend server accepts no new requests.
	RefusedDraining Verdict = "refused-draining"
	// RefusedEvacuated means that the backend server's data centre is evacuated.
	RefusedEvacuated Verdict = "refused-evacuated"
	// RefusedSuspected means that the backend server is suspected.
	RefusedSuspected Verdict = "refused-suspected"
	// RefusedEjected means that the backend server is ejected, or in probation with a request
	// running.
	RefusedEjected Verdict = "refused-ejected"
	// RefusedHanging means that the backend server appears to hang.
	RefusedHanging Verdict = "refused-hanging"
	// RefusedRetry means that the retry budget of a service that the request would call is
	// exhausted.
	RefusedRetry Verdict = "refused-retry"
	// RefusedLimited means that the rate of requests that the backend server names is used up.
	RefusedLimited Verdict = "refused-limited"
	// RefusedBusy means that no slot is free and the request is not to wait.
	RefusedBusy Verdict = "refused-busy"
)

const (
	// bucketCount bounds the per-customer state. An offer that is not granted a slot scans all
	// buckets.
	bucketCount = 256
	// averageWeight is the divisor of the newest service time in the moving average.
	averageWeight = 16
	// initialServiceTime is assumed until the first request has been run. It is short, so that
	// no request is refused for a wait that was never observed.
	initialServiceTime = 10 * time.Millisecond
)

// Config is the capacity of a backend server.
type Config struct {
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// Depth is the maximum number of requests that wait.
	Depth int
	// Salt makes the assignment of customers to buckets differ between backend servers.
	Salt string
}

// Request is a request for a slot.
type Request struct {
	// ID identifies the request.
	ID uint64
	// Customer is the customer that the request belongs to.
	Customer string
	// Priority is the rank; 0 is served first.
	Priority int
	// LatencyTargetAt is the time by which the answer should arrive; zero if there is no latency
	// target.
	LatencyTargetAt time.Time
	// TypicalLatency is how long an answer typically takes; zero if that is not known.
	TypicalLatency time.Duration
	// Deadline is the time by which the answer has to arrive.
	Deadline time.Time
}

// Decision is the outcome of an offered request, and what the caller needs to act on it.
type Decision struct {
	Verdict Verdict
	// Probation marks a granted request whose outcome shows whether an ejected backend server
	// has recovered.
	Probation bool
	// RetryAfter is the delay after which a refused request may find a slot.
	RetryAfter time.Duration
	// Evicted is the ID of the request that lost its place in the queue to this one; zero if
	// none did.
	Evicted uint64
}

// Queue holds the slots and the waiting requests of one backend server.
type Queue struct {
	config      Config
	running     int
	stalled     int // running requests that have outlasted nearly all others of their route
	waiting     int
	levels      []*level               // most urgent first
	lastSeen    [bucketCount]time.Time // time of the last request of a customer in the bucket
	serviceTime time.Duration
	rate        rateLimit
	// urgentGrants counts the grants to the most urgent priority since the last grant to
	// another.
	urgentGrants int
}

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	return &Queue{config: config, serviceTime: initialServiceTime}
}

// Resize changes the capacity. Running and waiting requests are kept, even those beyond it.
func (q *Queue) Resize(config Config) { q.config = config }

// Load returns the number of running and waiting requests relative to the number of slots.
func (q *Queue) Load() float64 {
	load := float64(q.running+q.waiting) / float64(q.config.Slots)
	if !q.rate.allows() {
		return math.Max(1, load)
	}
	return load
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait for a slot.
func (q *Queue) Waiting() int { return q.waiting }

// RetryAfter returns the estimated time until the running and waiting requests have been
// served.
func (q *Queue) RetryAfter() time.Duration { return q.estimatedWait(q.waiting + 1) }

// HasSlot reports whether a request would be granted a slot immediately.
func (q *Queue) HasSlot() bool {
	return q.running < q.config.Slots && q.waiting == 0 && q.rate.allows()
}

// Offer decides on one request: it is granted a slot, queued or refused.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	bucket := q.bucketOf(r.Customer)
	q.lastSeen[bucket] = now
	if q.HasSlot() {
		q.running++
		q.rate.take()
		return Decision{Verdict: Granted}
	}
	start := now.Add(q.estimatedWait(q.countAhead(r.Priority) + 1))
	if start.After(r.Deadline) || q.waiting >= q.config.Slots && q.missesLatencyTarget(start, r) {
		return Decision{Verdict: RefusedTooSlow, RetryAfter: q.RetryAfter()}
	}
	if q.waiting >= q.config.Depth {
		return q.offerFull(now, bucket, r)
	}
	if !q.hasRoom(now, bucket, r.Priority) {
		return Decision{Verdict: RefusedShare, RetryAfter: q.RetryAfter()}
	}
	q.push(now, bucket, r)
	return Decision{Verdict: Queued}
}

// missesLatencyTarget reports whether a request that starts at the given time and takes its typical
// time is answered after its latency target.
func (q *Queue) missesLatencyTarget(from time.Time, r Request) bool {
	typical := r.TypicalLatency
	if typical == 0 {
		typical = q.serviceTime
	}
	return !r.LatencyTargetAt.IsZero() && from.Add(typical).After(r.LatencyTargetAt)
}

// startsLate reports whether a request that waits now is answered after its latency target, or without one
// after its deadline.
func (q *Queue) startsLate(now time.Time, r Request) bool {
	start := now.Add(q.estimatedWait(q.countAhead(r.Priority) + 1))
	return start.After(r.Deadline) || q.missesLatencyTarget(start, r)
}

// countAhead returns the number of waiting requests that are served before a new one of the
// priority.
func (q *Queue) countAhead(priority int) int {
	waiting := 0
	for _, l := range q.levels {
		if l.priority <= priority {
			waiting += len(l.entries)
		}
	}
	return waiting
}

// level returns the waiting requests of the priority, adding the level if it is new.
func (q *Queue) level(priority int) *level {
	at, ok := slices.BinarySearchFunc(q.levels, priority, func(l *level, priority int) int { return cmp.Compare(l.priority, priority) })
	if !ok {
		q.levels = slices.Insert(q.levels, at, &level{priority: priority})
	}
	return q.levels[at]
}

// estimatedWait returns the estimated waiting time at the position in the queue. Stalled slots
// are left out, since it is not known when they are freed.
func (q *Queue) estimatedWait(position int) time.Duration {
	limited := q.rate.wait(position)
	ahead := q.running + position - q.config.Slots
	if ahead <= 0 {
		return max(0, limited)
	}
	unstalled := max(1, q.config.Slots-q.stalled)
	return max(limited, time.Duration(ahead)*q.serviceTime/time.Duration(unstalled))
}

// MarkStalled records that a running request has outlasted nearly all others of its route.
func (q *Queue) MarkStalled() { q.stalled++ }

// UnmarkStalled records that a stalled request has ended.
func (q *Queue) UnmarkStalled() { q.stalled = max(0, q.stalled-1) }

// push adds a request to the level of its priority.
func (q *Queue) push(now time.Time, bucket int, r Request) {
	q.level(r.Priority).push(now, bucket, r)
	q.waiting++
}

// bucketOf returns the bucket of the customer.
func (q *Queue) bucketOf(customer string) int {
	return int(xxhash.Sum64String(q.config.Salt+customer) % bucketCount)
}
