package attempts_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/balance"
)

const slowAfter = time.Millisecond

// slow describes a request whose only attempt is slow one second after start.
var slow = attempts.InFlight{Count: 1, LastStartedAt: start}

// TestNoHedgeInAPlannedStop guards against a hedge sent during a planned stop.
func TestNoHedgeInAPlannedStop(t *testing.T) {
	hedging := attempts.NewHedging(requestTo(newService(t, 2)), slowAfter, &attempts.History{})
	inFlight := slow
	if hedging.Choose(start.Add(time.Second), &attempts.History{}, inFlight).Target == nil {
		t.Fatal("no hedge for a slow attempt of an idempotent request")
	}
	inFlight.Stopping = true
	if hedging.Choose(start.Add(time.Second), &attempts.History{}, inFlight).Target != nil {
		t.Fatal("hedge sent during a planned stop")
	}
}

// TestNoHedgeBeyondTheLimits guards against a hedge of a request that must not run twice or has no
// attempts left.
func TestNoHedgeBeyondTheLimits(t *testing.T) {
	for name, test := range map[string]struct {
		request   attempts.Request
		history   attempts.History
		inFlight  attempts.InFlight
		slowAfter time.Duration
	}{
		"not idempotent": {request: attempts.Request{MaxSent: 2, NonIdempotent: true}, inFlight: slow, slowAfter: slowAfter},
		"one attempt":    {request: attempts.Request{MaxSent: 1}, inFlight: slow, slowAfter: slowAfter},
		"sent before":    {request: attempts.Request{MaxSent: 2}, history: attempts.History{Sent: 1}, inFlight: slow, slowAfter: slowAfter},
		"not slow yet":   {request: attempts.Request{MaxSent: 2}, inFlight: slow, slowAfter: time.Hour},
		"one failed":     {request: attempts.Request{MaxSent: 2}, inFlight: attempts.InFlight{Count: 1, LastStartedAt: start, Failed: 1}, slowAfter: slowAfter},
		"two in flight":  {request: attempts.Request{MaxSent: 2}, inFlight: attempts.InFlight{Count: 2, LastStartedAt: start}, slowAfter: slowAfter},
		"body consumed":  {request: attempts.Request{MaxSent: 2}, inFlight: attempts.InFlight{Count: 1, LastStartedAt: start, BodyConsumed: true}, slowAfter: slowAfter},
		"no slowAfter":   {request: attempts.Request{MaxSent: 2}, inFlight: slow},
	} {
		test.request.Service = newService(t, 2)
		hedging := attempts.NewHedging(test.request, test.slowAfter, &test.history)
		if c := hedging.Choose(start.Add(time.Second), &test.history, test.inFlight); c.Target != nil {
			t.Errorf("%s: hedge sent", name)
		}
	}
}

// TestHedgesAreOfferedInTurn guards against a hedge sent to the target of the slow attempt, or
// again to a target that refused it before all others were queried.
func TestHedgesAreOfferedInTurn(t *testing.T) {
	s := newService(t, 6)
	targets := s.Pool.Targets()
	h := &attempts.History{}
	hedging := attempts.NewHedging(requestTo(s), slowAfter, h)
	hedging.RecordSent(targets[0])
	for turn := range 3 {
		queried := make(map[*balance.Target]bool)
		for n := range len(targets) - 1 {
			c := hedging.Choose(start.Add(time.Second), h, slow)
			if c.Target == nil || c.Target == targets[0] || queried[c.Target] {
				t.Fatalf("turn %d: %v queried after %d others", turn, c.Target, len(queried))
			}
			if c.RefuseIfHanging != (turn == 0) {
				t.Fatalf("turn %d, %d queried: RefuseIfHanging is %t", turn, n, c.RefuseIfHanging)
			}
			queried[c.Target] = true
			hedging.RecordSent(c.Target)
			hedging.RecordRefused(c.Target)
		}
	}
}

// TestHedgesCanBeSwitchedOff guards against hedges of a service that has disabled them.
func TestHedgesCanBeSwitchedOff(t *testing.T) {
	for _, off := range []bool{false, true} {
		s := newService(t, 2)
		s.NoHedges = off
		hedging := attempts.NewHedging(requestTo(s), slowAfter, &attempts.History{})
		after, ok := hedging.FirstCheck()
		if ok == off || after != slowAfter {
			t.Fatalf("disabled: %t, first check after %v: %t", off, after, ok)
		}
	}
}
