// Package admission decides which requests a backend server runs, which wait
// for a slot, and which are refused at once.
//
// A Queue is the slots and the queue of one backend server. It is given what is known of
// the backend server, a request and the time, and returns a decision; it has no clock,
// goroutine or socket. The sidecar's task for the backend server owns it, and carries the
// decision out.
//
// # Usage
//
//	q := admission.NewQueue(admission.Config{Slots: 10, Depth: 20})
//	decision := q.Admit(now, &admission.Server{State: detect.Serving, Size: size}, admission.Attempt{}, admission.Request{ID: 1, Customer: "county-7"})
//	switch decision.Verdict { ... }
//	granted, expired := q.Done(now, took)
//
// Whether the backend server takes a request at all is in admit.go, the queue and an offer
// to it in admission.go, what happens when the places run short in crowded.go, who gets a
// slot that is freed in grant.go, who is taken out in remove.go, and the requests of one
// priority in line.go.
//
// # Order
//
// The first that applies decides (Queue.Admit, then Queue.Offer):
//
//  1. The backend server is draining: refused.
//  2. It is suspected: refused, but for a request that nobody else takes, one that finds out
//     how it does, and an idempotent one if what is held against it was mostly slow. An
//     ejection is not looked at then.
//  3. It is ejected: refused. In probation it takes one idempotent request at a time.
//  4. It seems to hang, and the request asks not to be taken then: refused.
//  5. The request is a retry, and retries for the calls that it will make are neither left
//     nor lent: refused.
//  6. No slot is free, and the request asks not to wait: refused.
//  7. A slot is free: granted.
//  8. It would start too late, or the queue or its customer's share of it is full: refused.
//  9. Else it waits.
//
// # Rules of the queue
//
//   - A free slot is given at once.
//   - A request that could not start before its deadline, by the time that
//     recent requests took, is refused at once. So is one that would come too late for
//     its latency target where more wait than there are slots: its slot is better given to one that
//     can still be in time, and its caller knows at once.
//   - The most urgent wait least: of two that wait the one of the lower priority
//     number is served first, but for one grant in UrgentGrants, so that nobody
//     starves. It may take the place of another that has just come.
//   - Of one customer's requests those that can still meet their latency target are served
//     before those that come late in any case.
//   - Waiting customers of one priority take turns. A customer that has its fair
//     part of the queue leaves a place free for each other that was seen in the last
//     ActiveFor, so that one that floods is refused at once and the others still find
//     a place.
//   - When the queue is full all the same, a customer that waits with more requests than another
//     loses its newest place, if it has had that for EvictWithin at most: a request that has waited
//     longer keeps its place.
//
// State is bounded: customers share a fixed number of buckets by hash, so two
// customers may share one turn. The hash is salted with the backend server's
// name, so that those two share it at few backend servers. Times taken are
// averaged with a weight of 1/16.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict is what becomes of an offered request.
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
	// RefusedDraining means that the backend server takes nothing new.
	RefusedDraining Verdict = "refused-draining"
	// RefusedSuspected means that it is suspected.
	RefusedSuspected Verdict = "refused-suspected"
	// RefusedEjected means that it is ejected, or in probation with a request.
	RefusedEjected Verdict = "refused-ejected"
	// RefusedHanging means that it seems to hang.
	RefusedHanging Verdict = "refused-hanging"
	// RefusedRetry means that no retry is left for what the request would call.
	RefusedRetry Verdict = "refused-retry"
	// RefusedBusy means that the request does not wait and no slot is free.
	RefusedBusy Verdict = "refused-busy"
)

const (
	// bucketCount bounds the state kept of customers. Not measured: an offer looks at each once
	// when the queue is used; two of 20 customers share a bucket at every other backend server.
	bucketCount = 256
	// averageWeight is the weight of the newest time taken in the average, as one part in so many.
	// Not measured: it follows a change within some 16 requests.
	averageWeight = 16
	// initialServiceTime is assumed until a request has been run. Not measured: short, so that
	// nothing is refused for a wait that was never seen.
	initialServiceTime = 10 * time.Millisecond
)

// Config is the size of a backend server.
type Config struct {
	// Slots is how many requests it runs at once.
	Slots int
	// Depth is how many requests may wait.
	Depth int
	// Salt makes the customers' buckets differ between backend servers.
	Salt string
}

// Request is a request for a slot.
type Request struct {
	// ID tells requests apart.
	ID uint64
	// Customer is who the request is for.
	Customer string
	// Priority is the rank; 0 is served first.
	Priority int
	// TargetAt is when the answer should be there; zero says nothing of it.
	TargetAt time.Time
	// TypicalLatency is how long its answer usually takes; zero if that is not known.
	TypicalLatency time.Duration
	// Deadline is when the answer has to be there.
	Deadline time.Time
}

// Decision says what becomes of a request.
type Decision struct {
	Verdict Verdict
	// Probation says that a granted request shows whether an ejected backend server has
	// recovered.
	Probation bool
	// RetryAfter is when a refused request may find a slot.
	RetryAfter time.Duration
	// Evicted is a request that lost its place in the queue to this one; zero if none did.
	Evicted uint64
}

// Queue is the slots and the queue of one backend server.
type Queue struct {
	config      Config
	running     int
	stalled     int // of the running ones, those that have outlasted nearly all others
	waiting     int
	lines       []*line                // the most urgent first
	seen        [bucketCount]time.Time // when a customer of the bucket last asked
	serviceTime time.Duration
	// urgentGrants counts the grants to the most urgent since the last to others.
	urgentGrants int
}

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	return &Queue{config: config, serviceTime: initialServiceTime}
}

// Resize changes the number of slots and places. What runs or waits stays.
func (q *Queue) Resize(config Config) { q.config = config }

// Load returns the running and waiting requests as a share of the slots.
func (q *Queue) Load() float64 {
	return float64(q.running+q.waiting) / float64(q.config.Slots)
}

// Running returns how many requests have a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many requests wait for one.
func (q *Queue) Waiting() int { return q.waiting }

// RetryAfter returns when what runs and waits now will have been served.
func (q *Queue) RetryAfter() time.Duration { return q.wait(q.waiting + 1) }

// HasSlot reports whether a request would be granted a slot at once.
func (q *Queue) HasSlot() bool { return q.running < q.config.Slots && q.waiting == 0 }

// Offer decides on one request.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	bucket := q.bucketOf(r.Customer)
	q.seen[bucket] = now
	if q.HasSlot() {
		q.running++
		return Decision{Verdict: Granted}
	}
	start := now.Add(q.wait(q.before(r.Priority) + 1))
	if start.After(r.Deadline) || q.waiting >= q.config.Slots && q.missesTarget(start, r) {
		return Decision{Verdict: RefusedTooSlow, RetryAfter: q.RetryAfter()}
	}
	if q.waiting >= q.config.Depth {
		return q.offerFull(now, bucket, r)
	}
	if !q.leavesRoom(now, bucket, r.Priority) {
		return Decision{Verdict: RefusedShare, RetryAfter: q.RetryAfter()}
	}
	q.push(now, bucket, r)
	return Decision{Verdict: Queued}
}

// missesTarget reports whether the request, run from then on, is answered after its latency target if it
// takes as long as usual.
func (q *Queue) missesTarget(from time.Time, r Request) bool {
	usual := r.TypicalLatency
	if usual == 0 {
		usual = q.serviceTime
	}
	return !r.TargetAt.IsZero() && from.Add(usual).After(r.TargetAt)
}

// before returns how many waiting requests are served before a new one of that priority.
func (q *Queue) before(priority int) int {
	waiting := 0
	for _, l := range q.lines {
		if l.priority <= priority {
			waiting += len(l.places)
		}
	}
	return waiting
}

// line returns the line of that priority.
func (q *Queue) line(priority int) *line {
	at, ok := slices.BinarySearchFunc(q.lines, priority, func(l *line, priority int) int { return cmp.Compare(l.priority, priority) })
	if !ok {
		q.lines = slices.Insert(q.lines, at, &line{priority: priority})
	}
	return q.lines[at]
}

// wait returns how long the request at that place in the queue waits. When a stalled slot
// comes free is not known, so only the others are counted on.
func (q *Queue) wait(place int) time.Duration {
	over := q.running + place - q.config.Slots
	if over <= 0 {
		return 0
	}
	moving := max(1, q.config.Slots-q.stalled)
	return time.Duration(over) * q.serviceTime / time.Duration(moving)
}

// MarkStalled records that a running request has outlasted nearly all others of its route.
func (q *Queue) MarkStalled() { q.stalled++ }

// UnmarkStalled records that one of these has ended.
func (q *Queue) UnmarkStalled() { q.stalled = max(0, q.stalled-1) }

// push adds a request to the line of its priority.
func (q *Queue) push(now time.Time, bucket int, r Request) {
	q.line(r.Priority).push(now, bucket, r)
	q.waiting++
}

// bucketOf returns the bucket that the customer shares.
func (q *Queue) bucketOf(customer string) int {
	return int(xxhash.Sum64String(q.config.Salt+customer) % bucketCount)
}
