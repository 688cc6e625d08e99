package detect_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
)

// detectionResult is the result of one detection method: the time from the fault to the detection of the
// unhealthy server and the number of false verdicts.
type detectionResult struct {
	after         time.Duration // length of the run if the server was not detected
	falseVerdicts int
}

// method is a common detection method, applied to the same events.
type method func(events []event, fault time.Time, x experiment) detectionResult

// consecutive detects a server after five consecutive failures.
func consecutive(events []event, fault time.Time, x experiment) detectionResult {
	const limit = 5
	result := detectionResult{after: x.after}
	failures := make(map[int]int)
	for _, s := range events {
		if s.observation.Outcome == detect.Overdue {
			continue
		}
		if s.observation.Outcome == detect.OK {
			failures[s.server] = 0
			continue
		}
		failures[s.server]++
		if failures[s.server] == limit {
			result.record(s.server, s.at, fault, x)
		}
	}
	return result
}

// outlier detects servers whose success rate over 10 s is more than 1.9 standard deviations below the
// mean.
func outlier(events []event, fault time.Time, x experiment) detectionResult {
	const window, deviations, minRequests = 10 * time.Second, 1.9, 5
	result := detectionResult{after: x.after}
	var requests, bad [servers]float64
	windowStart := epoch
	for _, s := range events {
		if s.observation.Outcome == detect.Overdue {
			continue
		}
		if s.at.Sub(windowStart) >= window {
			limit := meanMinusDeviations(requests, bad, deviations, minRequests)
			for server := range servers {
				if requests[server] >= minRequests && 1-bad[server]/requests[server] < limit {
					result.record(server, s.at, fault, x)
				}
			}
			requests, bad = [servers]float64{}, [servers]float64{}
			windowStart = s.at
		}
		requests[s.server]++
		if s.observation.Outcome != detect.OK {
			bad[s.server]++
		}
	}
	return result
}

func meanMinusDeviations(requests, bad [servers]float64, deviations, minRequests float64) float64 {
	var sum, squares, count float64
	for server := range servers {
		if requests[server] < minRequests {
			continue
		}
		rate := 1 - bad[server]/requests[server]
		sum += rate
		squares += rate * rate
		count++
	}
	if count == 0 {
		return 0
	}
	mean := sum / count
	return mean - deviations*math.Sqrt(math.Max(0, squares/count-mean*mean))
}

func (r *detectionResult) record(server int, at, fault time.Time, x experiment) {
	switch {
	case x.faulty == nil || server >= x.faultyCount || at.Before(fault):
		r.falseVerdicts++
	case r.after == x.after:
		r.after = at.Sub(fault)
	}
}

// evaluate runs the experiment for the seeds and returns the median detection time and the total number
// of false verdicts.
func (x experiment) evaluate(seeds int, apply method) detectionResult {
	times := make([]time.Duration, 0, seeds)
	falseVerdicts := 0
	for seed := range seeds {
		x.seed = uint64(seed)
		fault := epoch.Add(x.warm)
		result := apply(x.events(rand.New(rand.NewPCG(x.seed, 1)), fault), fault, x)
		times = append(times, result.after)
		falseVerdicts += result.falseVerdicts
	}
	slices.Sort(times)
	return detectionResult{after: times[len(times)/2], falseVerdicts: falseVerdicts}
}

// TestFasterThanCommonMethods guards against settings that detect a failing server more slowly than
// common methods, and against false verdicts of the careful setting.
func TestFasterThanCommonMethods(t *testing.T) {
	const seeds = 10
	tests := []struct {
		name   string
		faulty behaviour
		perSec float64
	}{
		{"stall at 300/s", stalled(1), 300},
		{"stall at 30/s", stalled(1), 30},
		{"a third times out at 300/s", stalled(0.3), 300},
		{"a third times out at 30/s", stalled(0.3), 30},
		{"five times slower at 300/s", slowed(5), 300},
		{"five times slower at 30/s", slowed(5), 30},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			x := experiment{
				rules: detect.Careful(), perSec: test.perSec, normal: healthy(0.4), faulty: test.faulty, faultyCount: 1,
				warm: 30 * time.Second, after: 60 * time.Second,
			}
			consecutiveResult := x.evaluate(seeds, consecutive)
			outlierResult := x.evaluate(seeds, outlier)
			careful, _, carefulFalse := x.times(seeds)
			x.rules = detect.Swift()
			swift, _, swiftFalse := x.times(seeds)
			t.Logf("swift %s (%d false), careful %s (%d), five consecutive failures %s (%d), success rate %s (%d)",
				swift, swiftFalse, careful, carefulFalse, consecutiveResult.after, consecutiveResult.falseVerdicts, outlierResult.after, outlierResult.falseVerdicts)
			if careful > consecutiveResult.after || careful > outlierResult.after || swift > careful {
				t.Error("slower than a common detection method, or swift slower than careful")
			}
			if carefulFalse > 0 {
				t.Errorf("%d false verdicts of the careful setting", carefulFalse)
			}
		})
	}
}

// TestThresholdTradeOff guards against a higher threshold that causes clearly more false verdicts. It logs
// detection time against false verdicts for each threshold.
func TestThresholdTradeOff(t *testing.T) {
	const seeds = 10
	last := seeds * servers
	for _, threshold := range []float64{4, 6.5, 8, 9, 10, 13, 17} {
		rules := detect.Swift()
		rules.Threshold = threshold
		withFault := experiment{
			rules: rules, perSec: 300, normal: healthy(0.4), faulty: stalled(0.3), faultyCount: 1,
			warm: 10 * time.Second, after: 20 * time.Second,
		}
		noisy := experiment{rules: rules, perSec: 300, normal: healthy(1), warm: time.Second, after: time.Minute}
		after, worst, _ := withFault.times(seeds)
		_, _, falseVerdicts := noisy.times(seeds)
		t.Logf("threshold %4.1f: a third timing out detected after %s, worst %s; %d false verdicts on %d servers in a minute of heavy tails",
			threshold, after.Round(time.Millisecond), worst.Round(time.Millisecond), falseVerdicts, seeds*servers)
		if falseVerdicts > last+seeds {
			t.Errorf("threshold %g: %d false verdicts, more than %d at the previous threshold", threshold, falseVerdicts, last)
		}
		last = falseVerdicts
	}
}
