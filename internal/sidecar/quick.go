package sidecar

import "github.com/tideliftd/tidelift/internal/detect"

// quickDivisor divides the latency target of a long request to get the time within which an error answer
// is a quick failure. Backend servers that fail most requests answer within 2 ms, where the work takes
// 230 ms and more; the shortest latency target of a long request leaves 75 ms for the daemon's own delays.
const quickDivisor = 10

// recordQuick records in the observation whether the request failed quickly, and counts it.
func (s *slot) recordQuick() {
	s.observation.Quick = s.isEvidence && s.observation.Outcome == detect.Error && s.long &&
		s.observation.Latency <= s.latencyTarget/quickDivisor
	if s.observation.Quick {
		s.server.quickFailures.Inc(1)
	}
}
