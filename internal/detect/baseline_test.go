package detect_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/detect"
)

// FuzzParseBaseline reads what a peer may send: no input may panic or give a
// rate beyond its bounds.
func FuzzParseBaseline(f *testing.F) {
	f.Add("10,50,0,0,25000")
	f.Add("")
	f.Add("1,2,3,4,5,6")
	f.Add("-1,,,,")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := detect.ParseBaseline(text)
		if err != nil {
			return
		}
		if r.Failure < 0 || r.Failure > 1 || r.Slow < 0 || r.Slow > 1 || r.TypicalLatency < 0 {
			t.Fatalf("%q gave %+v", text, r)
		}
		if again, err := detect.ParseBaseline(r.Encode()); err != nil || r.TypicalLatency > 0 && again != r {
			t.Fatalf("%q gave %+v, and encoded again %+v, %v", text, r, again, err)
		}
	})
}

// TestHoldGrowsAndDecays ejects a subject again and again: each time within
// memory is held longer than the one before, never beyond the longest, and a
// long time of service shortens the next.
func TestHoldGrowsAndDecays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := detect.Swift()
		s := detect.NewSubject(rules)
		now := epoch
		last := time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "times") {
			served := time.Duration(rapid.IntRange(0, 1200).Draw(t, "served")) * time.Second
			now = now.Add(served)
			s.Eject(now)
			held := s.EjectedFor(now)
			if held < rules.EjectionTime || held > rules.EjectionTimeMax {
				t.Fatalf("held for %s", held)
			}
			if served == 0 && last > 0 && held < min(2*last, rules.EjectionTimeMax) {
				t.Fatalf("held for %s after %s", held, last)
			}
			now = now.Add(held)
			if s.State(now) != detect.Probation {
				t.Fatalf("%s after its hold", s.State(now))
			}
			s.Reinstate(now)
			last = held
		}
	})
}

// TestTrial ends a probation by good answers in a row and lengthens the ejection time by a
// bad one.
func TestTrial(t *testing.T) {
	rules := detect.Swift()
	others := detect.Baseline{TypicalLatency: median}
	good := detect.Observation{Outcome: detect.OK, Latency: median}
	tests := []struct {
		name string
		saw  detect.Observation
		back bool
	}{
		{"good", good, true},
		{"an error", detect.Observation{Outcome: detect.Error, Latency: median}, false},
		{"no answer", detect.Observation{Outcome: detect.TimedOut, Latency: deadline}, false},
		{"slow", detect.Observation{Outcome: detect.OK, Latency: 10 * median}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := detect.NewSubject(rules)
			s.Eject(epoch)
			now := epoch.Add(rules.EjectionTime)
			for range rules.ProbationPasses - 1 {
				if s.ObserveProbation(now, good, others) {
					t.Fatal("it came back too soon")
				}
			}
			back := s.ObserveProbation(now, test.saw, others)
			if back != test.back {
				t.Fatalf("came back: %t", back)
			}
			if !back && s.EjectedFor(now) < 2*rules.EjectionTime {
				t.Fatalf("held for %s after a failed trial", s.EjectedFor(now))
			}
		})
	}
}
