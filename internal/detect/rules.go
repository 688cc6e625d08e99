package detect

import (
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
)

// Rules are the parameters of a detection setting. The careful setting has fewer false ejections,
// the swift setting decides faster. Where the two differ, the field comments list the careful
// value first. Sums are natural logarithms, rates are fractions from 0 to 1.
type Rules struct {
	// Threshold is the sum from which a subject is unhealthy: 10, 8. A higher threshold is
	// slower, a lower one causes more false verdicts.
	Threshold float64
	// UnhealthyFailureRate and UnhealthySlowRate are the fractions of responses, beyond the
	// baseline rate, that an unhealthy subject fails, 0.3, or gives slowly, 0.5. They set the
	// weight of one observation: against a healthy baseline a failure adds 3.4, so that three
	// reach either threshold, and a slow response adds 2.4, so that five reach 10 and four reach 8.
	UnhealthyFailureRate, UnhealthySlowRate float64
	// SlowFactor and SlowSlack define a slow response: one that takes longer than SlowFactor
	// times the baseline's typical latency plus SlowSlack. The slack absorbs scheduling jitter for
	// short requests. Slowness below SlowFactor is not detected.
	SlowFactor float64
	SlowSlack  time.Duration
	// OverdueFactor and OverdueSlack define an overdue request in the same way: 8 times plus
	// 300 ms, 5 times plus 100 ms. An overdue request counts as a failure before it ends, so that
	// a stall is detected without waiting for deadlines.
	OverdueFactor float64
	OverdueSlack  time.Duration
	// Interval and IntervalCap bound what a short time adds to the sum: 3.5, about one failure,
	// in 200 ms, 100 ms. A pause of the backend server under high traffic counts as one event.
	Interval    time.Duration
	IntervalCap float64
	// MinSpan and MinBad are the minimum time that the evidence spans, 1 s, 200 ms, and the
	// minimum number of bad observations in it, 3, 2.
	MinSpan time.Duration
	MinBad  float64
	// Deviations is the number of standard deviations by which the bad observations must exceed
	// the number expected from the baseline rate: 5, 4. It prevents false verdicts under
	// heavy-tailed latency.
	Deviations float64
	// Margin is the minimum difference between the subject's recent rate and the baseline rate. It
	// keeps a subject in service that has just recovered or is only slightly worse.
	Margin float64
	// EjectionTime is the length of the first ejection: 5 s, 3 s. Each further ejection doubles
	// it, up to EjectionTimeMax; each EjectionMemory in service since then removes one doubling.
	// A restarted backend server returns within seconds, and one that keeps failing does not
	// cost a probation every few seconds.
	EjectionTime, EjectionTimeMax, EjectionMemory time.Duration
	// ProbationPasses is the number of consecutive good responses that end a probation: 5, 3.
	ProbationPasses int
	// Ramp is the time over which a reinstated subject regains its full traffic share: 5 s, 3 s.
	// A subject that is still unhealthy shows it on part of its traffic.
	Ramp time.Duration
}

// Careful returns the rules that prefer fewer false ejections.
func Careful() Rules {
	return Rules{
		Threshold:            10,
		UnhealthyFailureRate: 0.3,
		UnhealthySlowRate:    0.5,
		SlowFactor:           3,
		SlowSlack:            10 * time.Millisecond,
		OverdueFactor:        8,
		OverdueSlack:         300 * time.Millisecond,
		Interval:             200 * time.Millisecond,
		IntervalCap:          3.5,
		MinSpan:              time.Second,
		MinBad:               3,
		Deviations:           5,
		Margin:               0.15,
		EjectionTime:         5 * time.Second,
		EjectionTimeMax:      5 * time.Minute,
		EjectionMemory:       time.Minute,
		ProbationPasses:      5,
		Ramp:                 5 * time.Second,
	}
}

// Swift returns the rules that prefer faster detection.
func Swift() Rules {
	r := Careful()
	r.Threshold = 8
	r.OverdueFactor = 5
	r.OverdueSlack = 100 * time.Millisecond
	r.Interval = 100 * time.Millisecond
	r.MinSpan = 200 * time.Millisecond
	r.MinBad = 2
	r.Deviations = 4
	r.EjectionTime = 3 * time.Second
	r.ProbationPasses = 3
	r.Ramp = 3 * time.Second
	return r
}

// RulesOf returns the rules for a service's detection setting.
func RulesOf(setting fleet.Detection) Rules {
	if setting == fleet.DetectionSwift {
		return Swift()
	}
	return Careful()
}

func (r Rules) slowLimit(typical time.Duration) time.Duration {
	return time.Duration(float64(typical)*r.SlowFactor) + r.SlowSlack
}

// OverdueLimit returns how long a request may run before it counts as overdue. It returns zero if
// the typical latency is unknown.
func (r Rules) OverdueLimit(typical time.Duration) time.Duration {
	if typical == 0 {
		return 0
	}
	return time.Duration(float64(typical)*r.OverdueFactor) + r.OverdueSlack
}
