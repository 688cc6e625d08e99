package admission

import "time"

// Expire removes the waiting requests that can no longer be answered by their deadline or,
// while more requests wait than there are slots, by their latency target, and returns their
// IDs.
//
// The estimate uses a request's current position, since more urgent requests may have been
// queued after it; it is then refused before its target has passed.
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

// Clear removes all waiting requests and returns their IDs.
func (q *Queue) Clear() []uint64 {
	return q.remove(func(Request) bool { return true })
}

// remove removes the waiting requests that match and returns their IDs.
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
