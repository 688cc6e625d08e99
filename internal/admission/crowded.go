package admission

import (
	"slices"
	"time"
)

const (
	// ActiveFor is how long a customer counts as active after a request. Not measured: within it
	// a customer that asks every second or so finds a place.
	ActiveFor = 2 * time.Second
	// EvictLessUrgentWithin is how long a waiting request can lose its place to a
	// more urgent one. Source: a refusal should come within a quarter of the time
	// in which an answer is hoped for, some hundreds of milliseconds.
	EvictLessUrgentWithin = 50 * time.Millisecond
	// EvictWithin is how long a waiting request can lose its place to another customer's. Not
	// measured: who loses it hears that about as soon as if it had been refused at once.
	EvictWithin = 10 * time.Millisecond
)

// roomForOthers is the most of the places that are left free for others. Source: where
// hundreds of customers ask a little each, most of those seen in the last ActiveFor have
// nothing to ask now, and a queue kept free for them all turns away those that have one waiting: at
// 1.2 times the capacity that was 0.06 of all requests of 81 customers
// (TestManyCustomersInTimeGoFirst), and is none.
const roomForOthers = 0.5

// leavesRoom reports whether the bucket may take another place: if it has less than
// its fair part of them, or a place stays free for each other that is active, up to
// roomForOthers.
func (q *Queue) leavesRoom(now time.Time, bucket, priority int) bool {
	others := q.activeOthers(now, bucket)
	fair := max(1, q.config.Depth/(others+1))
	free := q.config.Depth - q.waiting
	kept := min(others, int(roomForOthers*float64(q.config.Depth)))
	return q.line(priority).waiting[bucket] < fair || free > kept
}

// activeOthers counts the other buckets whose customers asked lately.
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
		if now.Sub(least.places[least.newest(out)].since) <= EvictLessUrgentWithin {
			return q.exchange(now, least, out, bucket, r)
		}
	}
	longest := own.longest()
	if longest == bucket && own.waiting[bucket] < len(own.places) {
		return Decision{Verdict: RefusedShare, RetryAfter: q.RetryAfter()}
	}
	if longest == bucket || own.waiting[longest] <= own.waiting[bucket]+1 {
		return Decision{Verdict: RefusedFull, RetryAfter: q.RetryAfter()}
	}
	if now.Sub(own.places[own.newest(longest)].since) > EvictWithin {
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

// leastUrgent returns the least urgent line in which a request waits. The queue is not empty.
func (q *Queue) leastUrgent() *line {
	for _, l := range slices.Backward(q.lines) {
		if len(l.places) > 0 {
			return l
		}
	}
	return q.lines[0]
}
