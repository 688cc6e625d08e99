package detect

import (
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
)

// Rules are the figures of a detection setting. Careful has fewer false ejections, Swift is
// faster; each field says what it guards against and, where both differ, careful's figure
// first. Sums are natural logarithms, rates shares from 0 to 1.
//
// Source, where a field says "measured together": docs/design/0002-detection.md, simulated
// with these rules (go test ./internal/detect -v), six backend servers, log-normal times. At
// 300 requests a second the worst of 20 seeds was, careful and swift: a stall 1.55 and 0.56 s,
// a third of the answers timing out 1.65 and 0.89 s, all answers five times slower 1.24 and
// 0.51 s. False verdicts in ten minutes: none at careful in nine cases, 3 at swift under heavy
// tails at 300/s and 0 to 3 elsewhere. At ten requests a minute three failures are enough.
type Rules struct {
	// Threshold is the sum from which a subject is sick: 10, 8. Source: a higher one is slower,
	// a lower one more often wrong. At swift's other figures, a third of the requests timing
	// out at 300/s, worst of ten seeds and false verdicts in ten minutes under heavy tails:
	// 6.5 took 667 ms and was wrong 15 times, 8 took 733 ms (3), 10 took 1,094 ms (0).
	Threshold float64
	// SickFailure and SickSlow are the shares of the answers beyond the others' that a sick
	// subject fails, 0.3, or gives slowly, 0.5. They set the weight of one observation: beside
	// others that do well a failure adds 3.4, so that three pass either threshold, and a slow
	// answer 2.4, so that five pass 10 and four 8. Measured together, not alone.
	SickFailure, SickSlow float64
	// SlowFactor and SlowSlack say from when an answer is slow: 3 times what is typical of the
	// others, and 10 ms more for work so short that the machine's jitter counts. Measured
	// together, not alone. A service that has to be found slow below three times the others
	// needs another factor.
	SlowFactor float64
	SlowSlack  time.Duration
	// OverdueFactor and OverdueSlack say likewise when a request without an answer is overdue:
	// 8 times and 300 ms, 5 times and 100 ms. It counts as a failure before it ends, so that a
	// stall shows without waiting for deadlines. Measured together, not alone.
	OverdueFactor float64
	OverdueSlack  time.Duration
	// Interval and IntervalCap bound what a short time adds to the sum: 3.5, about one failure,
	// in 200 ms, 100 ms. A pause of the backend server under much traffic is one event, not
	// many. Measured together, not alone.
	Interval    time.Duration
	IntervalCap float64
	// MinSpan and MinBad are the least time that the evidence spans, 1 s, 200 ms, and the least
	// number of bad observations in it, 3, 2. Measured together, not alone.
	MinSpan time.Duration
	MinBad  float64
	// Deviations is how many standard deviations the bad observations are above what the
	// others' rate makes likely: 5, 4. Source: heavy tails. Together with taking off the
	// others' sums and asking whether the suspicion is the subject's own it took false verdicts
	// of ten simulated minutes from 61 to 13 (swift at a threshold of 6.5, heavy tails at
	// 300/s) and from 23 to none (careful, all eight times slower at 5/s).
	Deviations float64
	// Margin is how far the subject's recent rate is above the others': 0.15. It keeps one that
	// has just recovered, or is hardly worse, in service. Measured together, not alone.
	Margin float64
	// EjectionTime is how long a subject stays ejected the first time: 5 s, 3 s. Each further
	// ejection doubles it, up to EjectionTimeMax, 5 minutes; each EjectionMemory, 1 minute, in
	// service since then takes one doubling back. Not measured: a backend server that is restarted is
	// back in seconds; one that keeps failing should not cost a probation every few seconds.
	EjectionTime, EjectionTimeMax, EjectionMemory time.Duration
	// ProbationPasses is how many good answers in a row end a probation: 5, 3. Not measured:
	// one that fails a third of its requests passes five by chance once in eight, three three
	// times in ten.
	ProbationPasses int
	// Ramp is how long a returned subject takes to get all its slots: 5 s, 3 s. Not measured:
	// as long as its first ejection, so that one that is not well shows it on part of its work.
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
