package admission

import "time"

// Expire takes out the waiting requests that have no hope or, in a crowded queue, come
// too late for their aim, and returns them. A queue is crowded while more wait than
// there are slots.
func (q *Queue) Expire(now time.Time) []uint64 {
	return q.remove(func(r Request) bool {
		tooLate := q.waiting > q.config.Slots && q.missesAim(now, r)
		return tooLate || q.isHopeless(now, r)
	})
}

// Clear takes out every waiting request and returns them.
func (q *Queue) Clear() []uint64 {
	return q.remove(func(Request) bool { return true })
}

// remove takes out the waiting requests of which that is true, and returns them.
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
