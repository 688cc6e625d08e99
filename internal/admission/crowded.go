package admission

import (
	"slices"
	"time"
)

const (
	// ActiveFor is how long a customer counts as active after a request. A customer with a request
	// every second or so thus finds a place.
	ActiveFor = 2 * time.Second
	// EvictLessUrgentWithin is how long after being queued a request can be evicted by a more
	// urgent one. It is short, because the evicted caller gets its refusal only then.
	EvictLessUrgentWithin = 50 * time.Millisecond
	// EvictWithin is how long after being queued a request can be evicted by another customer's
	// request of the same priority. It is short, so that the evicted caller is refused early.
	EvictWithin = 10 * time.Millisecond
)

// maxReservedShare is the maximum share of the places that is kept free for other customers. With
// hundreds of customers most active ones have no request to queue, and reserving a place for each
// would refuse requests needlessly: 6% of those of 81 customers at 1.2 times the capacity.
const maxReservedShare = 0.5

// hasRoom reports whether the bucket may take another place: it has less than its fair share,
// or a place stays free for each other active bucket, up to maxReservedShare.
func (q *Queue) hasRoom(now time.Time, bucket, priority int) bool {
	others := q.activeOthers(now, bucket)
	fair := max(1, q.config.Depth/(others+1))
	free := q.config.Depth - q.waiting
	reserved := min(others, int(maxReservedShare*float64(q.config.Depth)))
	return q.level(priority).waiting[bucket] < fair || free > reserved
}

// activeOthers returns the number of other buckets with a request within ActiveFor.
func (q *Queue) activeOthers(now time.Time, bucket int) int {
	others := 0
	for i := range q.lastSeen {
		if i != bucket && now.Sub(q.lastSeen[i]) < ActiveFor {
			others++
		}
	}
	return others
}

// offerFull decides on a request while the queue is full. The request replaces the newest one
// of the least urgent level if it is more urgent, or that of the customer with the most waiting
// requests if its own customer has fewer, provided that the other was queued within
// EvictLessUrgentWithin or EvictWithin. Otherwise it is refused.
func (q *Queue) offerFull(now time.Time, bucket int, r Request) Decision {
	own := q.level(r.Priority)
	if least := q.leastUrgent(); least.priority > r.Priority {
		evicted := least.longest()
		if now.Sub(least.entries[least.newestIndex(evicted)].since) <= EvictLessUrgentWithin {
			return q.replace(now, least, evicted, bucket, r)
		}
	}
	longest := own.longest()
	if longest == bucket && own.waiting[bucket] < len(own.entries) {
		return Decision{Verdict: RefusedShare, RetryAfter: q.RetryAfter()}
	}
	if longest == bucket || own.waiting[longest] <= own.waiting[bucket]+1 {
		return Decision{Verdict: RefusedFull, RetryAfter: q.RetryAfter()}
	}
	if now.Sub(own.entries[own.newestIndex(longest)].since) > EvictWithin {
		return Decision{Verdict: RefusedFull, RetryAfter: q.RetryAfter()}
	}
	return q.replace(now, own, longest, bucket, r)
}

// replace replaces the newest request of the evicted bucket with the given request.
func (q *Queue) replace(now time.Time, from *level, evicted, bucket int, r Request) Decision {
	removed := from.popNewest(evicted)
	q.waiting--
	q.push(now, bucket, r)
	return Decision{Verdict: Queued, Evicted: removed.ID}
}

// leastUrgent returns the least urgent level in which a request waits. The queue must not be
// empty.
func (q *Queue) leastUrgent() *level {
	for _, l := range slices.Backward(q.levels) {
		if len(l.entries) > 0 {
			return l
		}
	}
	return q.levels[0]
}
