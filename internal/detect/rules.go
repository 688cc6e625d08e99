package detect

import (
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
)

// Rules are the numbers of a detection setting.
type Rules struct {
	// Threshold is the sum above which a subject is sick.
	Threshold float64
	// SickFailure and SickSlow are the shares of bad observations that a sick
	// subject has beyond the others'.
	SickFailure, SickSlow float64
	// SlowFactor and SlowSlack say what is slow: more than so many times what
	// is typical of the others, and so much more.
	SlowFactor float64
	SlowSlack  time.Duration
	// OverdueFactor and OverdueSlack say likewise when an answer is overdue.
	OverdueFactor float64
	OverdueSlack  time.Duration
	// Interval and IntervalCap bound what a short time can add to the sum.
	Interval    time.Duration
	IntervalCap float64
	// MinSpan and MinBad are the least time and number of bad observations.
	MinSpan time.Duration
	MinBad  float64
	// Deviations is how many standard deviations the bad observations must be
	// above what the others' rate makes likely.
	Deviations float64
	// Margin is how far the subject's recent rate must be above the others'.
	Margin float64
	// EjectionTime is how long a subject stays ejected the first time; each further time
	// within HoldMemory doubles it, up to HoldMax.
	EjectionTime, EjectionTimeMax, EjectionMemory time.Duration
	// ProbationPasses is how many good answers in a row end a probation.
	ProbationPasses int
	// Ramp is how long a returned subject takes to get its whole share.
	Ramp time.Duration
}

// Careful prefers fewer false ejections.
func Careful() Rules {
	return Rules{
		Threshold:       10,
		SickFailure:     0.3,
		SickSlow:        0.5,
		SlowFactor:      3,
		SlowSlack:       10 * time.Millisecond,
		OverdueFactor:   8,
		OverdueSlack:    300 * time.Millisecond,
		Interval:        200 * time.Millisecond,
		IntervalCap:     3.5,
		MinSpan:         time.Second,
		MinBad:          3,
		Deviations:      5,
		Margin:          0.15,
		EjectionTime:    5 * time.Second,
		EjectionTimeMax: 5 * time.Minute,
		EjectionMemory:  time.Minute,
		ProbationPasses: 5,
		Ramp:            5 * time.Second,
	}
}

// Swift prefers faster detection.
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

// RulesOf returns the rules of a service's setting.
func RulesOf(setting fleet.Detection) Rules {
	if setting == fleet.DetectionSwift {
		return Swift()
	}
	return Careful()
}

func (r Rules) slowLimit(typical time.Duration) time.Duration {
	return time.Duration(float64(typical)*r.SlowFactor) + r.SlowSlack
}

// OverdueLimit is how long a request may take before it counts as overdue;
// zero without a typical time to compare with.
func (r Rules) OverdueLimit(typical time.Duration) time.Duration {
	if typical == 0 {
		return 0
	}
	return time.Duration(float64(typical)*r.OverdueFactor) + r.OverdueSlack
}
