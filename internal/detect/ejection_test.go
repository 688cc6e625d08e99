package detect_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
)

// TestFailedProbationsLengthenTheEjection guards against an unhealthy backend server that returns every
// few seconds because an earlier reinstatement keeps shortening its ejections.
func TestFailedProbationsLengthenTheEjection(t *testing.T) {
	rules := detect.Careful()
	failed := detect.Observation{Outcome: detect.TimedOut, Latency: deadline}
	tests := []struct {
		name   string
		before func(*detect.Subject) time.Time // returns the time of the next ejection
	}{
		{"never ejected", func(*detect.Subject) time.Time { return epoch }},
		{"reinstated two minutes ago", func(s *detect.Subject) time.Time {
			s.Eject(epoch)
			s.Reinstate(epoch.Add(rules.EjectionTime))
			return epoch.Add(rules.EjectionTime + 2*rules.EjectionMemory)
		}},
		{"fully reinstated two minutes ago", func(s *detect.Subject) time.Time {
			s.Eject(epoch)
			s.ReinstateFully(epoch.Add(time.Second))
			return epoch.Add(time.Second + 2*rules.EjectionMemory)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := detect.NewSubject(rules)
			now := test.before(s)
			s.Eject(now)
			for want := rules.EjectionTime; want <= rules.EjectionTimeMax; want *= 2 {
				if got := s.EjectedFor(now); got != want {
					t.Fatalf("ejected for %s, want %s", got, want)
				}
				now = now.Add(want)
				s.ObserveProbation(now, failed, detect.Baseline{})
			}
		})
	}
}

// TestTimeInServiceShortensTheEjection guards against long ejections of a backend server that has been
// healthy: each minute in service removes one doubling, time spent ejected removes none.
func TestTimeInServiceShortensTheEjection(t *testing.T) {
	rules := detect.Careful()
	s := detect.NewSubject(rules)
	now := epoch
	for range 3 {
		s.Eject(now)
		now = now.Add(s.EjectedFor(now))
	}
	s.Reinstate(now)
	now = now.Add(2 * rules.EjectionMemory)
	s.Eject(now)
	if got, want := s.EjectedFor(now), 2*rules.EjectionTime; got != want {
		t.Fatalf("after two minutes in service ejected for %s, want %s", got, want)
	}
	s.ReinstateFully(now)
	s.Eject(now)
	if got, want := s.EjectedFor(now), 4*rules.EjectionTime; got != want {
		t.Fatalf("immediately after that ejected for %s, want %s", got, want)
	}
}

// TestFailureInProbationIsNoSlowness guards against a backend server that counts as merely slow although it fails by now.
func TestFailureInProbationIsNoSlowness(t *testing.T) {
	rules := detect.Swift()
	s := detect.NewSubject(rules)
	others := detect.Baseline{TypicalLatency: 10 * time.Millisecond}
	now := epoch
	for !s.Verdict(now).Unhealthy {
		now = now.Add(100 * time.Millisecond)
		s.Observe(now, detect.Observation{Outcome: detect.OK, Latency: time.Second}, others)
	}
	s.Eject(now)
	if got := s.Cause(now); got != detect.CauseSlow {
		t.Fatalf("ejected for %q, want %q", got, detect.CauseSlow)
	}
	now = now.Add(rules.EjectionTime)
	s.ObserveProbation(now, detect.Observation{Outcome: detect.TimedOut, Latency: deadline}, others)
	if got := s.Cause(now); got != detect.CauseTimesOut {
		t.Errorf("after a failed probation ejected for %q, want %q", got, detect.CauseTimesOut)
	}
}
