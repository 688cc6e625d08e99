package latency_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/latency"
)

// taught returns a estimate that has seen those durations, in milliseconds.
func taught(millis ...int) *latency.Estimate {
	p := latency.New()
	for _, m := range millis {
		p.Observe(time.Duration(m) * time.Millisecond)
	}
	return p
}

// times repeats a duration.
func times(count, millis int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = millis
	}
	return all
}

func TestLate(t *testing.T) {
	const target = 400 * time.Millisecond
	cases := []struct {
		name          string
		estimate      *latency.Estimate
		target        time.Duration
		least, atMost time.Duration
	}{
		{"nothing known", taught(), target, 200 * time.Millisecond, 200 * time.Millisecond},
		{"nothing known and no target", taught(), 0, 0, 0},
		{"longer than nearly all", taught(append(times(19, 100), 180)...), target, 100 * time.Millisecond, 115 * time.Millisecond},
		{"a hedge can be back", taught(append(times(80, 150), times(20, 390)...)...), target, 225 * time.Millisecond, 255 * time.Millisecond},
		{"not before it has outlasted most", taught(append(times(40, 200), times(60, 380)...)...), target, 375 * time.Millisecond, 430 * time.Millisecond},
	}
	for _, c := range cases {
		if slowAfter := c.estimate.SlowAfter(c.target); slowAfter < c.least || slowAfter > c.atMost {
			t.Errorf("%s: late after %v, want %v to %v", c.name, slowAfter, c.least, c.atMost)
		}
	}
}

func TestWhatIsUsualFollowsTheLastAnswers(t *testing.T) {
	p := taught(times(5*latency.Memory, 50)...)
	for range 2 * latency.Memory {
		p.Observe(500 * time.Millisecond)
	}
	if usual, known := p.Median(); !known || usual < 500*time.Millisecond {
		t.Fatalf("usual %v, %v", usual, known)
	}
}

// TestLateLiesAmongTheAnswers holds that a request is never slow before the shortest good
// answer nor after the longest, whatever was seen.
func TestLateLiesAmongTheAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := rapid.SliceOfN(rapid.IntRange(1, 60_000), 8, 150).Draw(t, "millis")
		target := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "target")) * time.Millisecond
		shortest, longest := millis[0], millis[0]
		for _, m := range millis {
			shortest, longest = min(shortest, m), max(longest, m)
		}
		slowAfter := taught(millis...).SlowAfter(target)
		const class = 1.13 // answers are known to a class
		if slowAfter < time.Duration(shortest)*time.Millisecond || slowAfter > time.Duration(float64(longest)*class)*time.Millisecond {
			t.Fatalf("late after %v, answers took %d to %d ms, target %v", slowAfter, shortest, longest, target)
		}
	})
}
