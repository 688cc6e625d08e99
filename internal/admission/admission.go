// Package admission decides which requests a backend server runs, which wait
// for a slot, and which are refused at once.
//
// A Queue is the aggregate of one backend server. It takes messages and the
// time and gives decisions back; it has no clock, goroutine or socket. The
// sidecar's task for the backend server owns it.
//
// # Usage
//
//	q := admission.NewQueue(admission.Config{Slots: 10, Depth: 20})
//	decision := q.Offer(now, admission.Request{ID: 1, Customer: "county-7", Deadline: now.Add(time.Second)})
//	switch decision.Verdict { ... }
//	granted, late := q.Done(now, took)
//
// Rules:
//
//   - A free slot is given at once.
//   - A request that could not start before its deadline, by the time that
//     recent requests took, is refused at once.
//   - The most urgent wait least: of two that wait the one of the lower priority
//     number is served first, but for one grant in UrgentGrants, so that nobody
//     starves. It may take the place of another that has just come.
//   - Of one customer's requests those that can still meet their aim are served
//     before those that come late in any case.
//   - Waiting customers of one priority take turns. A customer that has its fair part of the queue
//     leaves a place free for each other that was seen in the last ActiveFor, so
//     that whoever floods is refused at once and the others still find a place.
//   - When the queue is full all the same, a customer who waits with more requests
//     than another gives up its newest place, if it has had that for EvictWithin at
//     most: who has waited longer is not refused after it.
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
	// RefusedLate means that a slot would come too late.
	RefusedLate Verdict = "refused-late"
	// RefusedShare means that the customer already has its share of a full queue.
	RefusedShare Verdict = "refused-share"
)

const (
	// bucketCount bounds the state kept of customers.
	bucketCount = 256
	// averageWeight is the weight of the newest time taken, as one part in so many.
	averageWeight = 16
	// initialServiceTime is assumed until a request has been run.
	initialServiceTime = 10 * time.Millisecond
	// ActiveFor is how long a customer counts as active after a request.
	ActiveFor = 2 * time.Second
	// UrgentGrants is how many grants go to the more urgent while the less urgent
	// wait, before one goes to those. Source: what is less urgent must get a
	// quarter of the share that the rest gets at the least.
	UrgentGrants = 3
	// EvictLessUrgentWithin is how long a waiting request can lose its place to a
	// more urgent one. Source: a refusal should come within a quarter of the time
	// in which an answer is hoped for, some hundreds of milliseconds.
	EvictLessUrgentWithin = 50 * time.Millisecond
	// EvictWithin is how long a waiting request can lose its place.
	EvictWithin = 10 * time.Millisecond
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
	// Aim is when the answer should be there; zero says nothing of it.
	Aim time.Time
	// Patience is until when it waits in a crowded queue; zero says nothing of it.
	Patience time.Time
	// Deadline is when the answer has to be there.
	Deadline time.Time
}

// Decision answers an offer.
type Decision struct {
	Verdict Verdict
	// RetryAfter is when a refused request may find a slot.
	RetryAfter time.Duration
	// Evicted is a request that lost its place in the queue to this one; zero if none did.
	Evicted uint64
}

// Queue is the slots and the queue of one backend server.
type Queue struct {
	config      Config
	running     int
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

// HasSlot says whether a request would be granted a slot at once.
func (q *Queue) HasSlot() bool { return q.running < q.config.Slots && q.waiting == 0 }

// Offer decides on one request.
func (q *Queue) Offer(now time.Time, r Request) Decision {
	bucket := q.bucketOf(r.Customer)
	q.seen[bucket] = now
	if q.HasSlot() {
		q.running++
		return Decision{Verdict: Granted}
	}
	if now.Add(q.wait(q.before(r.Priority) + 1)).After(r.Deadline) {
		return Decision{Verdict: RefusedLate, RetryAfter: q.RetryAfter()}
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

// leavesRoom says whether the bucket may take another place: if it has less than
// its fair part of them, or a place stays free for each other that is active.
func (q *Queue) leavesRoom(now time.Time, bucket, priority int) bool {
	others := q.activeOthers(now, bucket)
	fair := max(1, q.config.Depth/(others+1))
	free := q.config.Depth - q.waiting
	return len(q.line(priority).buckets[bucket]) < fair || free > others
}

// before returns how many wait that are served before one of that priority.
func (q *Queue) before(priority int) int {
	waiting := 0
	for _, l := range q.lines {
		if l.priority <= priority {
			waiting += l.waiting
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

func (q *Queue) activeOthers(now time.Time, bucket int) int {
	others := 0
	for i := range q.seen {
		if i != bucket && now.Sub(q.seen[i]) < ActiveFor {
			others++
		}
	}
	return others
}

// offerFull lets a more urgent request take the newest place of the least urgent,
// and a customer with a short queue that of the customer with the longest.
func (q *Queue) offerFull(now time.Time, bucket int, r Request) Decision {
	own := q.line(r.Priority)
	if least := q.leastUrgent(); least.priority > r.Priority {
		out := least.longest()
		if now.Sub(least.newest(out).since) <= EvictLessUrgentWithin {
			return q.exchange(now, least, out, bucket, r)
		}
	}
	longest := own.longest()
	if longest == bucket && len(own.buckets[bucket]) < own.waiting {
		return Decision{Verdict: RefusedShare, RetryAfter: q.RetryAfter()}
	}
	if longest == bucket || len(own.buckets[longest]) <= len(own.buckets[bucket])+1 {
		return Decision{Verdict: RefusedFull, RetryAfter: q.RetryAfter()}
	}
	if now.Sub(own.newest(longest).since) > EvictWithin {
		return Decision{Verdict: RefusedFull, RetryAfter: q.RetryAfter()}
	}
	return q.exchange(now, own, longest, bucket, r)
}

// exchange gives the newest place of a bucket to the request.
func (q *Queue) exchange(now time.Time, from *line, evicted, bucket int, r Request) Decision {
	out := from.popNewest(evicted)
	q.waiting--
	q.push(now, bucket, r)
	return Decision{Verdict: Queued, Evicted: out.ID}
}

// leastUrgent returns the least urgent line in which somebody waits. The queue
// is not empty.
func (q *Queue) leastUrgent() *line {
	for _, l := range slices.Backward(q.lines) {
		if l.waiting > 0 {
			return l
		}
	}
	return q.lines[0]
}

// next takes the request that is served next. The queue is not empty.
func (q *Queue) next(now time.Time) Request {
	q.waiting--
	return q.nextLine().popTurn(now.Add(q.serviceTime))
}

// nextLine returns the line that is served next: the most urgent, or after
// UrgentGrants of those the next one that waits.
func (q *Queue) nextLine() *line {
	first := -1
	for i, l := range q.lines {
		if l.waiting == 0 {
			continue
		}
		if first >= 0 {
			q.urgentGrants = 0
			return l
		}
		first = i
		if q.urgentGrants < UrgentGrants {
			break
		}
	}
	q.urgentGrants++
	return q.lines[first]
}

// Done frees a slot after a request that took so long, and returns the
// requests that get a slot and those that can no longer make their deadline.
// A request that was granted a slot and never sent has taken zero, which the
// average leaves out.
func (q *Queue) Done(now time.Time, took time.Duration) (granted, late []uint64) {
	q.running--
	if took > 0 {
		q.serviceTime += (took - q.serviceTime) / averageWeight
	}
	return q.grant(now)
}

func (q *Queue) grant(now time.Time) (granted, late []uint64) {
	for q.running < q.config.Slots && q.waiting > 0 {
		next := q.next(now)
		if q.isHopeless(now, next) {
			late = append(late, next.ID)
			continue
		}
		q.running++
		granted = append(granted, next.ID)
	}
	return granted, late
}

// hopelessPart is the part of the usual service time that has to be left for a
// request to be run at all.
const hopelessPart = 2

func (q *Queue) isHopeless(now time.Time, r Request) bool {
	return now.Add(q.serviceTime / hopelessPart).After(r.Deadline)
}

// Expire takes out the waiting requests that have no hope or, in a crowded queue,
// no patience left, and returns them. A queue is crowded while more wait than
// there are slots.
func (q *Queue) Expire(now time.Time) []uint64 {
	return q.remove(func(r Request) bool {
		impatient := !r.Patience.IsZero() && now.After(r.Patience) && q.waiting > q.config.Slots
		return impatient || q.isHopeless(now, r)
	})
}

// Clear takes out every waiting request and returns them.
func (q *Queue) Clear() []uint64 {
	return q.remove(func(Request) bool { return true })
}

func (q *Queue) remove(which func(Request) bool) []uint64 {
	removed := make([]uint64, 0, q.waiting)
	for _, l := range q.lines {
		removed = append(removed, l.remove(which, func() { q.waiting-- })...)
	}
	return removed
}

// Cancel takes a waiting request out and says whether it was waiting.
func (q *Queue) Cancel(customer string, id uint64) bool {
	bucket := q.bucketOf(customer)
	for _, l := range q.lines {
		if l.cancel(bucket, id) {
			q.waiting--
			return true
		}
	}
	return false
}

// wait returns how long the request at that place in the queue waits.
func (q *Queue) wait(place int) time.Duration {
	over := q.running + place - q.config.Slots
	if over <= 0 {
		return 0
	}
	return time.Duration(over) * q.serviceTime / time.Duration(q.config.Slots)
}

func (q *Queue) push(now time.Time, bucket int, r Request) {
	q.line(r.Priority).push(now, bucket, r)
	q.waiting++
}

func (q *Queue) bucketOf(customer string) int {
	return int(xxhash.Sum64String(q.config.Salt+customer) % bucketCount)
}
