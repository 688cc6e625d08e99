package latency_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/latency"
)

// estimateOf returns an estimate with the given observations in milliseconds.
func estimateOf(millis ...int) *latency.Estimate {
	estimate := latency.New()
	for _, m := range millis {
		estimate.Observe(time.Duration(m) * time.Millisecond)
	}
	return estimate
}

// times returns count copies of a duration.
func times(count, millis int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = millis
	}
	return all
}

func TestSlowAfter(t *testing.T) {
	const target = 400 * time.Millisecond
	cases := []struct {
		name          string
		estimate      *latency.Estimate
		target        time.Duration
		least, atMost time.Duration
	}{
		{"no observations", estimateOf(), target, 200 * time.Millisecond, 200 * time.Millisecond},
		{"no observations and no target", estimateOf(), 0, 0, 0},
		{"longer than nearly all", estimateOf(append(times(19, 100), 180)...), target, 100 * time.Millisecond, 115 * time.Millisecond},
		{"a hedge can finish within the target", estimateOf(append(times(80, 150), times(20, 390)...)...), target, 225 * time.Millisecond, 255 * time.Millisecond},
		{"not before it has run longer than most", estimateOf(append(times(40, 200), times(60, 380)...)...), target, 375 * time.Millisecond, 430 * time.Millisecond},
	}
	for _, c := range cases {
		if slowAfter := c.estimate.SlowAfter(c.target); slowAfter < c.least || slowAfter > c.atMost {
			t.Errorf("%s: slow after %v, want %v to %v", c.name, slowAfter, c.least, c.atMost)
		}
	}
}

func TestMedianFollowsRecentResponses(t *testing.T) {
	estimate := estimateOf(times(5*latency.DecayThreshold, 50)...)
	for range 2 * latency.DecayThreshold {
		estimate.Observe(500 * time.Millisecond)
	}
	if median, known := estimate.Median(); !known || median < 500*time.Millisecond {
		t.Fatalf("median %v, known %v", median, known)
	}
}

// TestSlowAfterIsWithinObserved guards against a slow limit below the shortest or above the longest
// observed duration.
func TestSlowAfterIsWithinObserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := rapid.SliceOfN(rapid.IntRange(1, 60_000), 8, 150).Draw(t, "millis")
		target := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "target")) * time.Millisecond
		shortest, longest := millis[0], millis[0]
		for _, m := range millis {
			shortest, longest = min(shortest, m), max(longest, m)
		}
		slowAfter := estimateOf(millis...).SlowAfter(target)
		const bucketRatio = 1.13 // bucket precision
		if slowAfter < time.Duration(shortest)*time.Millisecond || slowAfter > time.Duration(float64(longest)*bucketRatio)*time.Millisecond {
			t.Fatalf("slow after %v, responses took %d to %d ms, target %v", slowAfter, shortest, longest, target)
		}
	})
}
