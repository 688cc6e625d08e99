package suspicion

import "time"

// hanging is what the requests of a backend server show while they run: whether any takes
// longer than it should, and no later one has been answered well.
type hanging struct {
	slowRunning  int       // slow requests that still run
	slowUntil    time.Time // until when a slow one that has ended counts
	lastSlowFrom time.Time // when the latest request that was slow began
	lastGoodFrom time.Time // when the latest request that was answered well began
}

// RecordSlowRequest records that a running request which began then has outlasted nearly all others
// of its route.
func (s *Suspicion) RecordSlowRequest(began time.Time) {
	s.hanging.slowRunning++
	if began.After(s.hanging.lastSlowFrom) {
		s.hanging.lastSlowFrom = began
	}
}

// RecordSlowRequestEnd records that a slow request which began then has ended. It counts for as
// long again as it ran: after that a request has to find out, where nothing else does.
func (s *Suspicion) RecordSlowRequestEnd(now, began time.Time) {
	s.hanging.slowRunning--
	if until := now.Add(now.Sub(began)); until.After(s.hanging.slowUntil) {
		s.hanging.slowUntil = until
	}
}

// Hanging reports whether a request is slow, or was a moment ago, and no later one has been
// answered well. A request that hangs shows that long before it ends; whatever is sent after
// it may hang too.
func (s *Suspicion) Hanging(now time.Time) bool {
	counts := s.hanging.slowRunning > 0 || now.Before(s.hanging.slowUntil)
	return counts && s.hanging.lastSlowFrom.After(s.hanging.lastGoodFrom)
}

// recordGood records that a request which began then was answered well.
func (h *hanging) recordGood(began time.Time) {
	if began.After(h.lastGoodFrom) {
		h.lastGoodFrom = began
	}
}
