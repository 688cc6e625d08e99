package suspicion

import "time"

const (
	// QuickFailureWeight is the weight of a quick failure. One suffices: with a third of the backend servers failing
	// most requests, one failure is chance in 3 of 100 cases, and a second one would cost another request.
	QuickFailureWeight = 1.0

	// quickFirstPause is the pause before the first probe. A single failure may be chance.
	quickFirstPause = 300 * time.Millisecond
	// quickPauseFactor extends the pause after a failed probe, up to quickLongestPause. A failed probe costs an attempt, a
	// retry and its calls; failures last 6 to 10 s, and others usually have free slots meanwhile.
	quickPauseFactor  = 3
	quickLongestPause = 3 * time.Second
)

// quick tracks whether quick failures decide how the backend server is probed.
type quick struct {
	began  bool      // the suspicion began with a quick failure
	last   bool      // the last bad outcome was a quick failure
	lastAt time.Time // time of the last quick failure
}

// decides reports whether quick failures decide the pauses between probes.
func (q quick) decides() bool { return q.began || q.last }

// ScaledQuickWeight returns the weight of a quick failure, given the failure rate of the others, for the
// same reason as ScaledErrorWeight.
func ScaledQuickWeight(othersFailureRate float64) float64 {
	return QuickFailureWeight * unsharedShare(othersFailureRate)
}

// RecordQuickFailure records a quick failure with the given weight and reports whether suspicion begins with
// it.
func (s *Suspicion) RecordQuickFailure(now time.Time, weight float64) bool {
	s.connectionBroke = false
	s.quick.last = true
	s.quick.lastAt = now
	return s.recordFailure(now, weight)
}

// RecordSharedFailure records an error answer that weighs nothing, since the others fail as often. It changes no
// pause. Where quick failures decide, the running probe may have failed with it, and does not count as
// successful before its response.
func (s *Suspicion) RecordSharedFailure() {
	if s.quick.decides() {
		s.pendingProbe = time.Time{}
	}
}
