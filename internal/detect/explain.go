package detect

import (
	"fmt"
	"time"
)

// Explanation is the evidence behind a subject's state, for operators.
type Explanation struct {
	State    State         `json:"state"`
	Cause    Cause         `json:"cause"`
	Rule     string        `json:"rule"`
	Since    time.Duration `json:"since"`
	Observed int64         `json:"observed"`
	Failures int64         `json:"failures"`
	// FailureRate and SlowRate are recent shares; OthersFailure and OthersSlow
	// are the service's others'.
	FailureRate   float64 `json:"failure_rate"`
	OthersFailure float64 `json:"others_failure"`
	SlowRate      float64 `json:"slow_rate"`
	OthersSlow    float64 `json:"others_slow"`
	// TypicalLatency is the time the subject takes, OthersTypical the others'.
	TypicalLatency       time.Duration `json:"typical"`
	OthersTypicalLatency time.Duration `json:"others_typical"`
	// FailureSum and SlowSum are the cumulative sums; Threshold is the rule's.
	FailureSum float64 `json:"failure_sum"`
	SlowSum    float64 `json:"slow_sum"`
	Threshold  float64 `json:"threshold"`
}

// Explain returns the evidence: what decided, for a subject that is ejected, or
// what there is now.
func (s *Subject) Explain(now time.Time) Explanation {
	x := s.evidenceNow()
	if s.ejection.ejected {
		x = s.ejection.decided
		x.Since = now.Sub(s.ejection.began)
	}
	x.State = s.State(now)
	x.Cause = s.ejection.cause
	if verdict := s.Verdict(now); verdict.Unhealthy {
		x.Cause = verdict.Cause
	}
	x.Observed = s.observed
	x.Failures = s.failures
	x.Rule = s.rule(now, x)
	return x
}

// evidenceNow returns the rates, times and sums as they stand.
func (s *Subject) evidenceNow() Explanation {
	return Explanation{
		FailureRate:          s.failure.rate,
		OthersFailure:        s.baseline.failure(),
		SlowRate:             s.slow.rate,
		OthersSlow:           s.baseline.slow(),
		TypicalLatency:       s.latency.typical(),
		OthersTypicalLatency: s.baseline.TypicalLatency,
		FailureSum:           s.failure.total(s.rules),
		SlowSum:              s.slow.total(s.rules),
		Threshold:            s.rules.Threshold,
	}
}

// rule names the rule that decided the state.
func (s *Subject) rule(now time.Time, x Explanation) string {
	switch x.State {
	case Ejected:
		return fmt.Sprintf("evidence of failures %.1f, of slowness %.1f; %.1f is enough; trial in %s",
			x.FailureSum, x.SlowSum, s.rules.Threshold, s.EjectedFor(now).Round(100*time.Millisecond))
	case Probation:
		return fmt.Sprintf("on trial: %d of %d good answers", s.ejection.passes, s.rules.ProbationPasses)
	case Serving:
		return fmt.Sprintf("evidence of failures %.1f, of slowness %.1f; %.1f is enough", x.FailureSum, x.SlowSum, s.rules.Threshold)
	}
	return ""
}
