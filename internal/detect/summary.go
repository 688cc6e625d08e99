package detect

import (
	"math"
	"time"
)

// Summary describes one backend server while another is suspected.
type Summary struct {
	// Good reports that the server gave a response that was not slow since the suspicion began.
	Good bool `json:"good"`
	// Suspect reports that the server's own evidence has reached half the threshold.
	Suspect bool `json:"suspect"`
	// Count and Bad are the numbers of the server's observations, and of the bad ones among them,
	// since its own evidence last left zero.
	Count float64 `json:"count"`
	Bad   float64 `json:"bad"`
}

// strongestEvidence returns the stronger of the two kinds of evidence.
func (s *Subject) strongestEvidence() *evidence {
	if s.slow.total(s.rules) > s.failure.total(s.rules) {
		return &s.slow
	}
	return &s.failure
}

// SuspectedSince returns when the current suspicion of the subject began.
func (s *Subject) SuspectedSince() time.Time { return s.strongestEvidence().since }

// Summary returns how the subject has performed since the given time.
func (s *Subject) Summary(since time.Time) Summary {
	e := s.strongestEvidence()
	summary := Summary{Good: s.lastGoodAt.After(since)}
	if sum := e.total(s.rules); sum > 0 {
		summary.Suspect = sum >= s.rules.Threshold/2
		summary.Count = e.count
		summary.Bad = e.bad
	}
	return summary
}

// idleThresholdFactor multiplies the required evidence if none of the other servers received a request
// during the suspicion, so that there is nothing to compare with.
const idleThresholdFactor = 2

// IsOutlier reports whether the subject performs worse than the others since its suspicion began:
// at least one of them did well, more did well than are suspected themselves, and the subject's bad
// observations are not explained by the rate of theirs.
func (s *Subject) IsOutlier(others []Summary) bool {
	e := s.strongestEvidence()
	good, suspect := 0, 0
	var count, bad float64
	for _, other := range others {
		count += other.Count
		bad += other.Bad
		switch {
		case other.Suspect:
			suspect++
		case other.Good:
			good++
			count += e.count / 2 // assumes half as many responses as the subject gave, all good
		}
	}
	if good+suspect == 0 && count == 0 {
		return e.total(s.rules) >= idleThresholdFactor*s.rules.Threshold
	}
	if good <= suspect {
		return false
	}
	return e.isSignificantAgainst(math.Max(bad/count, minFailureRate), s.rules)
}
