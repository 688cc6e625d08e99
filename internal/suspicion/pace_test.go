package suspicion_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/suspicion"
)

// sickSpells simulates a backend server that fails most of its requests for some seconds now and then.
// It returns how many requests failed and how long it was suspected although it was well, in a spell.
func sickSpells(perSecond float64) (failed float64, unused time.Duration) {
	const (
		spells     = 200
		well, sick = 21 * time.Second, 9 * time.Second
		failing    = 0.85
		takes      = 100 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	s := suspicion.New()
	failures := 0
	now := epoch
	for end := epoch.Add(spells * (well + sick)); now.Before(end); {
		pause := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		isSick := now.Sub(epoch)%(well+sick) >= well
		if s.Suspected() && !isSick {
			unused += pause
		}
		now = now.Add(pause)
		s.RecordOffer(now)
		if s.Suspected() && !s.MayProbe(now) {
			continue
		}
		if s.Suspected() {
			s.RecordProbe(now)
		}
		s.RecordStart(now)
		if isSick && random.Float64() < failing {
			failures++
			s.RecordFailure(now, suspicion.BrokenConnectionWeight)
			continue
		}
		s.RecordSuccess(now.Add(takes), now)
	}
	return float64(failures) / spells, unused / spells
}

// TestProbesAreFewOfTheRequests guards against a failing backend server that gets most of its usual
// requests as probes, and against one that stays unused long after it has recovered.
func TestProbesAreFewOfTheRequests(t *testing.T) {
	for _, perSecond := range []float64{1, 1.3, 2, 4, 8, 20} {
		failed, unused := sickSpells(perSecond)
		t.Logf("%g requests a second: %.1f failed in a spell of 9 s, suspected for %s after it", perSecond, failed, unused.Round(10*time.Millisecond))
		// Of 9 s of requests; ten probes beside the first failures suffice at any rate.
		if most := min(0.4*9*perSecond+1, 12); failed > most {
			t.Errorf("%g requests a second: %.1f of %.1f requests of a spell failed, want at most %.1f", perSecond, failed, 9*perSecond, most)
		}
		if unused > 7*time.Second {
			t.Errorf("%g requests a second: suspected for %s after a spell", perSecond, unused)
		}
	}
}

// TestNonIdempotentRequestsProve guards against a backend server that is never used again because its
// service has only requests that must not be lost, each of which goes where another has run recently.
func TestNonIdempotentRequestsProve(t *testing.T) {
	for _, pause := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second} {
		s := suspicion.New()
		refused := time.Duration(0)
		accepts := func(now time.Time) bool {
			return s.Proven(now) && (!s.Suspected() || s.MayProbeNonIdempotent(now))
		}
		fails := 0
		for at := time.Duration(0); at < time.Minute; at += pause {
			now := epoch.Add(at)
			s.RecordOffer(now)
			if !accepts(now) {
				refused += pause
				if refused > 10*time.Second {
					t.Fatalf("a request each %s: none was accepted for %s", pause, refused)
				}
				continue
			}
			refused = 0
			if s.Suspected() {
				s.RecordProbe(now)
			}
			s.RecordStart(now)
			if fails < 2 && at > 5*time.Second {
				fails++
				s.RecordFailure(now, suspicion.BrokenConnectionWeight)
				continue
			}
			s.RecordSuccess(now.Add(pause/2), now)
		}
		if s.Suspected() || fails < 2 {
			t.Fatalf("a request each %s: suspected %t after %d failures", pause, s.Suspected(), fails)
		}
	}
}
