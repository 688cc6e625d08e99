package ingress

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/result"
)

// TestNoHedgeInAPlannedStop leaves a request where it runs once a stop has begun, however
// long it takes there.
func TestNoHedgeInAPlannedStop(t *testing.T) {
	in := &Ingress{}
	slowAfter := &attempt{startedAt: time.Now().Add(-time.Second)}
	r := &round{in: in, request: &request{terms: attempts.Terms{MaxSent: 2}}, progress: &progress{}, slowAfter: time.Millisecond, running: []*attempt{slowAfter}}
	if !r.mayHedge() {
		t.Fatal("a late attempt of a repeatable request has no hedge")
	}
	in.Settle()
	if r.mayHedge() {
		t.Fatal("a hedge is sent in a planned stop")
	}
}

// TestWhatMustNotRunTwiceIsNeverHedged holds it, and the route's limit on attempts.
func TestWhatMustNotRunTwiceIsNeverHedged(t *testing.T) {
	slowAfter := &attempt{startedAt: time.Now().Add(-time.Second)}
	for name, r := range map[string]*round{
		"once":          {request: &request{terms: attempts.Terms{MaxSent: 2, NonIdempotent: true}}, progress: &progress{}},
		"one attempt":   {request: &request{terms: attempts.Terms{MaxSent: 1}}, progress: &progress{}},
		"sent before":   {request: &request{terms: attempts.Terms{MaxSent: 2}}, progress: &progress{History: attempts.History{Sent: 1}}},
		"not late yet":  {request: &request{terms: attempts.Terms{MaxSent: 2}}, progress: &progress{}, slowAfter: time.Hour},
		"failed beside": {request: &request{terms: attempts.Terms{MaxSent: 2}}, progress: &progress{}, failed: &finished{}},
		"nothing known": {request: &request{terms: attempts.Terms{MaxSent: 2}}, progress: &progress{}, slowAfter: 0},
	} {
		r.in, r.running = &Ingress{}, []*attempt{slowAfter}
		if name != "nothing known" {
			r.slowAfter = max(r.slowAfter, time.Millisecond)
		}
		if r.mayHedge() {
			t.Errorf("%s: a hedge is sent", name)
		}
	}
}

// newTestRound returns a round with so many attempts that run.
func newTestRound(t *testing.T, running int) *round {
	t.Helper()
	declaration, err := fleet.Parse("fleet.yaml", []byte(twoServers))
	if err != nil {
		t.Fatal(err)
	}
	index := fleet.NewIndex(declaration)
	pool := balance.NewPool(balance.Config{DataCentre: "dc", Random: rand.Uint64})
	pool.Reconfigure(declaration.Services[0], index)
	in := &Ingress{config: Config{Logger: slog.New(slog.DiscardHandler)}}
	r := &round{in: in, progress: &progress{}, done: make(chan finished)}
	r.request = &request{terms: attempts.Terms{MaxSent: 3}, service: &service{limit: &retryLimit{}}}
	for range running {
		a := &attempt{in: in, request: r.request, Choice: attempts.Choice{Target: pool.Targets()[0]}, cancel: func(error) {}}
		r.running = append(r.running, a)
	}
	return r
}

// TestAHedgeWithoutASlotEndsTheRoundOfAFailedAttempt lets an attempt fail while a hedge of
// it still looks for a slot.
func TestAHedgeWithoutASlotEndsTheRoundOfAFailedAttempt(t *testing.T) {
	r := newTestRound(t, 2)
	first, looking := r.running[0], r.running[1]
	if end := r.take(finished{attempt: first, err: result.New(result.ConnectionLost)}); end != nil {
		t.Fatal("the round ended while a hedge may still be sent")
	}
	end := r.take(finished{attempt: looking, err: result.New(result.Busy), unsent: true})
	if end == nil || end.attempt != first {
		t.Fatalf("ended with %+v, want the attempt that failed", end)
	}
	if r.progress.Sent != 0 {
		t.Fatal("the failure that ends the round is in the trace already")
	}
}

// TestTheLastFailureEndsTheRound keeps the one before it in the trace.
func TestTheLastFailureEndsTheRound(t *testing.T) {
	r := newTestRound(t, 2)
	first, second := r.running[0], r.running[1]
	r.take(finished{attempt: first, err: result.New(result.ConnectionLost)})
	end := r.take(finished{attempt: second, err: result.New(result.DeadlineWhileRunning)})
	if end == nil || end.attempt != second || r.progress.Sent != 1 {
		t.Fatalf("ended with %+v, %d in the trace", end, r.progress.Sent)
	}
}

// TestHedgesAreOfferedInTurn has each backend server refuse a hedge: none is asked again
// before all others have been asked, nor the one where the slow attempt runs.
func TestHedgesAreOfferedInTurn(t *testing.T) {
	r := newTestRound(t, 1)
	r.request.service.pool = newTestPool(t, 6)
	targets := r.request.service.pool.Targets()
	r.avoid = []*balance.Target{targets[0]}
	for turn := range 3 {
		asked := make(map[*balance.Target]bool)
		for range len(targets) - 1 {
			target, ok := r.pick(time.Now())
			if !ok || target == targets[0] || asked[target] {
				t.Fatalf("turn %d: %v is asked after %d others", turn, target, len(asked))
			}
			asked[target] = true
			r.avoid = append(r.avoid, target)
			r.running = append(r.running, &attempt{in: r.in, request: r.request, Choice: attempts.Choice{Target: target}})
			r.take(finished{attempt: r.running[1], err: result.New(result.RetryLimit), unsent: true})
		}
		if r.asked != (turn > 0) {
			t.Fatalf("turn %d: all have been asked: %t", turn, r.asked)
		}
	}
}

// newTestPool returns a pool of so many backend servers of one host.
func newTestPool(t *testing.T, count int) *balance.Pool {
	t.Helper()
	text := "hosts: [{name: h1, data-centre: dc, peers: '127.0.0.1:1', control: '127.0.0.1:2'}]\nservices:\n- name: lookup\n  floor: 1\n  backend-servers:\n"
	for n := range count {
		text += fmt.Sprintf("  - {name: s%d, host: h1, address: '127.0.0.1:%d'}\n", n, 10+n)
	}
	declaration, err := fleet.Parse("fleet.yaml", []byte(text+"routes: [{host: a.example, service: lookup}]\n"))
	if err != nil {
		t.Fatal(err)
	}
	pool := balance.NewPool(balance.Config{DataCentre: "dc", Random: rand.Uint64, Start: time.Now()})
	pool.Reconfigure(declaration.Services[0], fleet.NewIndex(declaration))
	return pool
}

// TestHedgesCanBeSwitchedOff waits for a look that never comes.
func TestHedgesCanBeSwitchedOff(t *testing.T) {
	for _, off := range []experiment.Off{nil, {experiment.Hedges}} {
		r := newTestRound(t, 1)
		r.in.config.Off = off
		r.slowAfter = time.Millisecond
		look := r.firstLook()
		select {
		case <-look.C:
			if off != nil {
				t.Fatal("a hedge is looked for")
			}
		case <-time.After(100 * time.Millisecond):
			if off == nil {
				t.Fatal("no hedge is looked for")
			}
		}
	}
}
