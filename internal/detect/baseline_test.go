package detect_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/detect"
)

// FuzzParseBaseline guards against input from a peer that causes a panic or rates out of bounds.
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
		if r.Failure < 0 || r.Failure > 1 || r.Slow < 0 || r.Slow > 1 || r.Typical < 0 {
			t.Fatalf("%q parsed as %+v", text, r)
		}
		if again, err := detect.ParseBaseline(r.Encode()); err != nil || r.Typical > 0 && again != r {
			t.Fatalf("%q parsed as %+v, re-encoded and parsed as %+v, %v", text, r, again, err)
		}
	})
}

// TestHoldGrowsAndDecays guards against ejection times outside their bounds, and against one that does
// not double if the subject is ejected again immediately after its reinstatement.
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
				t.Fatalf("ejected for %s", held)
			}
			if served == 0 && last > 0 && held < min(2*last, rules.EjectionTimeMax) {
				t.Fatalf("ejected for %s after %s", held, last)
			}
			now = now.Add(held)
			if s.State(now) != detect.Probation {
				t.Fatalf("state %s after the ejection time", s.State(now))
			}
			s.Return(now)
			last = held
		}
	})
}

// TestTrial guards against a probation that ends too early, or that a failed or slow response does not
// turn into a longer ejection.
func TestTrial(t *testing.T) {
	rules := detect.Swift()
	others := detect.Baseline{Typical: median}
	good := detect.Observation{Outcome: detect.OK, Took: median}
	tests := []struct {
		name string
		saw  detect.Observation
		back bool
	}{
		{"good", good, true},
		{"an error", detect.Observation{Outcome: detect.Error, Took: median}, false},
		{"no response", detect.Observation{Outcome: detect.TimedOut, Took: deadline}, false},
		{"slow", detect.Observation{Outcome: detect.OK, Took: 10 * median}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := detect.NewSubject(rules)
			s.Eject(epoch)
			now := epoch.Add(rules.EjectionTime)
			for range rules.ProbationPasses - 1 {
				if s.ObserveProbation(now, good, others) {
					t.Fatal("reinstated too early")
				}
			}
			back := s.ObserveProbation(now, test.saw, others)
			if back != test.back {
				t.Fatalf("reinstated: %t", back)
			}
			if !back && s.EjectedFor(now) < 2*rules.EjectionTime {
				t.Fatalf("ejected for %s after a failed probation", s.EjectedFor(now))
			}
		})
	}
}
