package admission

import "time"

// Expire removes the waiting requests that can no longer be answered by their deadline or,
// while more requests wait than there are slots, by their latency target, and returns their
// IDs.
//
// The estimate uses a request's current position, since more urgent requests may have been
// queued after it; it is then refused before its latency target has passed.
func (q *Queue) Expire(now time.Time) []uint64 {
	expired := make(map[uint64]bool)
	remaining := q.waiting
	ahead := 0
	for _, l := range q.levels {
		for _, r := range l.inTurnOrder() {
			late := remaining > q.config.Slots && q.missesLatencyTarget(now.Add(q.estimatedWait(ahead+1)), r.Request)
			if late || q.cannotMeetDeadline(now, r.Request) {
				expired[r.ID] = true
				remaining--
				continue
			}
			ahead++
		}
	}
	if len(expired) == 0 {
		return nil
	}
	return q.remove(func(r Request) bool { return expired[r.ID] })
}

// Clear removes all waiting requests and returns their IDs.
func (q *Queue) Clear() []uint64 {
	return q.remove(func(Request) bool { return true })
}

// remove removes the waiting requests that match and returns their IDs.
func (q *Queue) remove(match func(Request) bool) []uint64 {
	removed := make([]uint64, 0, q.waiting)
	for _, l := range q.levels {
		removed = append(removed, l.remove(match)...)
	}
	q.waiting -= len(removed)
	return removed
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	return len(q.remove(func(r Request) bool { return r.ID == id })) > 0
}
