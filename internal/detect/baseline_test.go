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
		baseline, err := detect.ParseBaseline(text)
		if err != nil {
			return
		}
		if baseline.Failure < 0 || baseline.Failure > 1 || baseline.Slow < 0 || baseline.Slow > 1 || baseline.TypicalLatency < 0 {
			t.Fatalf("%q parsed as %+v", text, baseline)
		}
		if reparsed, err := detect.ParseBaseline(baseline.Encode()); err != nil || baseline.TypicalLatency > 0 && reparsed != baseline {
			t.Fatalf("%q parsed as %+v, re-encoded and parsed as %+v, %v", text, baseline, reparsed, err)
		}
	})
}

// TestEjectionTimeGrows guards against ejection times outside their bounds, and against one that does
// not double if the subject is ejected again immediately after its reinstatement.
func TestEjectionTimeGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := detect.Swift()
		s := detect.NewSubject(rules)
		now := epoch
		last := time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "times") {
			served := time.Duration(rapid.IntRange(0, 1200).Draw(t, "served")) * time.Second
			now = now.Add(served)
			s.Eject(now)
			ejectedFor := s.EjectedFor(now)
			if ejectedFor < rules.EjectionTime || ejectedFor > rules.EjectionTimeMax {
				t.Fatalf("ejected for %s", ejectedFor)
			}
			if served == 0 && last > 0 && ejectedFor < min(2*last, rules.EjectionTimeMax) {
				t.Fatalf("ejected for %s after %s", ejectedFor, last)
			}
			now = now.Add(ejectedFor)
			if s.State(now) != detect.Probation {
				t.Fatalf("state %s after the ejection time", s.State(now))
			}
			s.Reinstate(now)
			last = ejectedFor
		}
	})
}

// TestProbation guards against a probation that ends too early, or that a failed or slow response does not
// turn into a longer ejection.
func TestProbation(t *testing.T) {
	rules := detect.Swift()
	others := detect.Baseline{TypicalLatency: median}
	good := detect.Observation{Outcome: detect.OK, Latency: median}
	tests := []struct {
		name        string
		observation detect.Observation
		reinstated  bool
	}{
		{"good", good, true},
		{"an error", detect.Observation{Outcome: detect.Error, Latency: median}, false},
		{"no response", detect.Observation{Outcome: detect.TimedOut, Latency: deadline}, false},
		{"slow", detect.Observation{Outcome: detect.OK, Latency: 10 * median}, false},
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
			reinstated := s.ObserveProbation(now, test.observation, others)
			if reinstated != test.reinstated {
				t.Fatalf("reinstated: %t", reinstated)
			}
			if !reinstated && s.EjectedFor(now) < 2*rules.EjectionTime {
				t.Fatalf("ejected for %s after a failed probation", s.EjectedFor(now))
			}
		})
	}
}
