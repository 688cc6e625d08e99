package detect

import (
	"math"
	"time"
)

// Summary is how one backend server does while another is suspected.
type Summary struct {
	// Good says that it gave an answer in good time since the suspicion began.
	Good bool `json:"good"`
	// Suspect says that it has gathered half the evidence to be called sick
	// itself.
	Suspect bool `json:"suspect"`
	// Count and Bad are its own observations, and the bad ones among them, for
	// as long as it has been under any suspicion.
	Count float64 `json:"count"`
	Bad   float64 `json:"bad"`
}

// suspicion returns the stronger evidence against the subject.
func (s *Subject) suspicion() *evidence {
	if s.slow.total(s.rules) > s.failure.total(s.rules) {
		return &s.slow
	}
	return &s.failure
}

// SuspectedSince returns since when the subject is under suspicion.
func (s *Subject) SuspectedSince() time.Time { return s.suspicion().since }

// Summary returns how the subject has done since then.
func (s *Subject) Summary(since time.Time) Summary {
	e := s.suspicion()
	summary := Summary{Good: s.lastGood.After(since)}
	if sum := e.total(s.rules); sum > 0 {
		summary.Suspect = sum >= s.rules.Threshold/2
		summary.Count = e.count
		summary.Bad = e.bad
	}
	return summary
}

// idleFactor is how many times the usual evidence is needed if none of the others was asked
// anything meanwhile. Source: at ten requests a minute that took a fourth failure in 1 of 20
// simulated runs (docs/design/0002-detection.md).
const idleFactor = 2

// IsOutlier reports whether the subject does worse than the others since it came under suspicion:
// at least one of them did well, more did well than are suspects themselves, and the bad answers
// that they gave would not make the subject's likely.
func (s *Subject) IsOutlier(others []Summary) bool {
	e := s.suspicion()
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
			count += e.count / 2 // it is taken to have given half as many answers, all good
		}
	}
	if good+suspect == 0 && count == 0 {
		return e.total(s.rules) >= idleFactor*s.rules.Threshold
	}
	if good <= suspect {
		return false
	}
	return e.deviatesFrom(math.Max(bad/count, normalFailure), s.rules)
}
