package suspicion

import "time"

// hanging tracks whether a backend server appears to hang: a request runs for longer than it
// should, and no later request has succeeded.
type hanging struct {
	slowRunning      int       // slow requests still running
	slowUntil        time.Time // end of the period in which an ended slow request still counts
	lastSlowStart    time.Time // start of the latest slow request
	lastSuccessStart time.Time // start of the latest successful request
}

// RecordSlowRequest records that a running request, started at the given time, has exceeded its route's
// slow limit.
func (s *Suspicion) RecordSlowRequest(startedAt time.Time) {
	s.hanging.slowRunning++
	if startedAt.After(s.hanging.lastSlowStart) {
		s.hanging.lastSlowStart = startedAt
	}
}

// RecordSlowRequestEnd records the end of a slow request that started at the given time. It continues
// to count for as long as it ran; after that a new request may determine whether the backend server
// still hangs.
func (s *Suspicion) RecordSlowRequestEnd(now, startedAt time.Time) {
	s.hanging.slowRunning--
	if until := now.Add(now.Sub(startedAt)); until.After(s.hanging.slowUntil) {
		s.hanging.slowUntil = until
	}
}

// Hanging reports whether a request is slow, or was recently, and no later request has succeeded. It
// detects a hang long before the slow request ends; requests sent after it may hang as well.
func (s *Suspicion) Hanging(now time.Time) bool {
	counts := s.hanging.slowRunning > 0 || now.Before(s.hanging.slowUntil)
	return counts && s.hanging.lastSlowStart.After(s.hanging.lastSuccessStart)
}

// recordSuccess records the success of a request that started at the given time.
func (h *hanging) recordSuccess(startedAt time.Time) {
	if startedAt.After(h.lastSuccessStart) {
		h.lastSuccessStart = startedAt
	}
}
