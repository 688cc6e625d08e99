package detect_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
)

// TestFailedProbationsLengthenTheEjection guards against a sick backend server that comes back every few seconds:
// an earlier return, however long ago, shortens the first ejection after it alone.
func TestFailedProbationsLengthenTheEjection(t *testing.T) {
	rules := detect.Careful()
	failed := detect.Observation{Outcome: detect.TimedOut, Latency: deadline}
	tests := []struct {
		name   string
		before func(*detect.Subject) time.Time // returns when it is ejected anew
	}{
		{"it was never ejected", func(*detect.Subject) time.Time { return epoch }},
		{"it returned two minutes ago", func(s *detect.Subject) time.Time {
			s.Eject(epoch)
			s.Reinstate(epoch.Add(rules.EjectionTime))
			return epoch.Add(rules.EjectionTime + 2*rules.EjectionMemory)
		}},
		{"it was restored two minutes ago", func(s *detect.Subject) time.Time {
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

// TestTimeInServiceShortensTheEjection guards against an ejection that stays long after a backend server has been
// well: each minute in service takes one doubling back, and time that it spent ejected none.
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
		t.Fatalf("at once after that for %s, want %s", got, want)
	}
}
