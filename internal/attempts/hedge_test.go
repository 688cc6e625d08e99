package attempts_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/balance"
)

const slowAfter = time.Millisecond

// slow is what runs of a request whose only attempt is slow a second after the start.
var slow = attempts.InFlight{Count: 1, LastStartedAt: start}

// TestNoHedgeInAPlannedStop leaves a request where it runs once a stop has begun, however
// long it takes there.
func TestNoHedgeInAPlannedStop(t *testing.T) {
	hedging := attempts.NewHedging(termsOf(newService(t, 2)), slowAfter, &attempts.History{})
	running := slow
	if hedging.Choose(start.Add(time.Second), &attempts.History{}, running).Target == nil {
		t.Fatal("a late attempt of a repeatable request has no hedge")
	}
	running.Stopping = true
	if hedging.Choose(start.Add(time.Second), &attempts.History{}, running).Target != nil {
		t.Fatal("a hedge is sent in a planned stop")
	}
}

// TestWhatMustNotRunTwiceIsNeverHedged holds it, and the route's limit on attempts.
func TestWhatMustNotRunTwiceIsNeverHedged(t *testing.T) {
	for name, test := range map[string]struct {
		terms     attempts.Request
		history   attempts.History
		running   attempts.InFlight
		slowAfter time.Duration
	}{
		"once":          {terms: attempts.Request{MaxSent: 2, NonIdempotent: true}, running: slow, slowAfter: slowAfter},
		"one attempt":   {terms: attempts.Request{MaxSent: 1}, running: slow, slowAfter: slowAfter},
		"sent before":   {terms: attempts.Request{MaxSent: 2}, history: attempts.History{Sent: 1}, running: slow, slowAfter: slowAfter},
		"not late yet":  {terms: attempts.Request{MaxSent: 2}, running: slow, slowAfter: time.Hour},
		"failed beside": {terms: attempts.Request{MaxSent: 2}, running: attempts.InFlight{Count: 1, LastStartedAt: start, Failed: 1}, slowAfter: slowAfter},
		"two run":       {terms: attempts.Request{MaxSent: 2}, running: attempts.InFlight{Count: 2, LastStartedAt: start}, slowAfter: slowAfter},
		"body spent":    {terms: attempts.Request{MaxSent: 2}, running: attempts.InFlight{Count: 1, LastStartedAt: start, BodyConsumed: true}, slowAfter: slowAfter},
		"nothing known": {terms: attempts.Request{MaxSent: 2}, running: slow},
	} {
		test.terms.Service = newService(t, 2)
		hedging := attempts.NewHedging(test.terms, test.slowAfter, &test.history)
		if c := hedging.Choose(start.Add(time.Second), &test.history, test.running); c.Target != nil {
			t.Errorf("%s: a hedge is sent", name)
		}
	}
}

// TestHedgesAreOfferedInTurn has each backend server refuse a hedge: none is asked again
// before all others have been asked, nor the one where the slow attempt runs.
func TestHedgesAreOfferedInTurn(t *testing.T) {
	s := newService(t, 6)
	targets := s.Pool.Targets()
	h := &attempts.History{}
	hedging := attempts.NewHedging(termsOf(s), slowAfter, h)
	hedging.RecordSent(targets[0])
	for turn := range 3 {
		asked := make(map[*balance.Target]bool)
		for n := range len(targets) - 1 {
			c := hedging.Choose(start.Add(time.Second), h, slow)
			if c.Target == nil || c.Target == targets[0] || asked[c.Target] {
				t.Fatalf("turn %d: %v is asked after %d others", turn, c.Target, len(asked))
			}
			if c.RefuseIfHanging != (turn == 0) {
				t.Fatalf("turn %d, %d asked: refuses if it hangs: %t", turn, n, c.RefuseIfHanging)
			}
			asked[c.Target] = true
			hedging.RecordSent(c.Target)
			hedging.RecordRefused(c.Target)
		}
	}
}

// TestHedgesCanBeSwitchedOff asks for the first look, which never comes.
func TestHedgesCanBeSwitchedOff(t *testing.T) {
	for _, off := range []bool{false, true} {
		s := newService(t, 2)
		s.NoHedges = off
		hedging := attempts.NewHedging(termsOf(s), slowAfter, &attempts.History{})
		after, ok := hedging.FirstCheck()
		if ok == off || after != slowAfter {
			t.Fatalf("switched off: %t, a hedge is looked for after %v: %t", off, after, ok)
		}
	}
}
