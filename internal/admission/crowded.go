package admission

import (
	"slices"
	"time"
)

const (
	// ActiveFor is how long a customer counts as active after a request.
	ActiveFor = 2 * time.Second
	// EvictLessUrgentWithin is how long after being queued a request can be evicted by a more
	// urgent one. It is short, because the evicted caller gets its refusal only then.
	EvictLessUrgentWithin = 50 * time.Millisecond
	// EvictWithin is how long after being queued a request can be evicted by another customer's
	// request of the same priority.
	EvictWithin = 10 * time.Millisecond
)

// roomForOthers is the maximum share of the places that is kept free for other customers. Among
// hundreds of customers most of the active ones have no request to queue, and a queue kept free
// for all of them would refuse requests needlessly.
const roomForOthers = 0.5

// leavesRoom reports whether the bucket may take another place: it has less than its fair
// share, or a place stays free for each other active bucket, up to roomForOthers.
func (q *Queue) leavesRoom(now time.Time, bucket, priority int) bool {
	others := q.activeOthers(now, bucket)
	fair := max(1, q.config.Depth/(others+1))
	free := q.config.Depth - q.waiting
	kept := min(others, int(roomForOthers*float64(q.config.Depth)))
	return q.line(priority).waiting[bucket] < fair || free > kept
}

// activeOthers returns the number of other buckets with a request within ActiveFor.
func (q *Queue) activeOthers(now time.Time, bucket int) int {
	others := 0
	for i := range q.seen {
		if i != bucket && now.Sub(q.seen[i]) < ActiveFor {
			others++
		}
	}
	return others
}

// offerFull decides on a request while the queue is full. The request replaces the newest one
// of the least urgent priority if it is more urgent, or that of the customer with the most
// waiting requests if its own customer has fewer.
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

// exchange replaces the newest request of the evicted bucket by the given request.
func (q *Queue) exchange(now time.Time, from *line, evicted, bucket int, r Request) Decision {
	out := from.popNewest(evicted)
	q.waiting--
	q.push(now, bucket, r)
	return Decision{Verdict: Queued, Evicted: out.ID}
}

// leastUrgent returns the least urgent level in which a request waits. The queue must not be
// empty.
func (q *Queue) leastUrgent() *line {
	for _, l := range slices.Backward(q.lines) {
		if len(l.places) > 0 {
			return l
		}
	}
	return q.lines[0]
}
