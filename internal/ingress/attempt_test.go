package ingress

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/latency"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

// newTestRace returns a race with the given number of running attempts.
func newTestRace(t *testing.T, running int) *race {
	t.Helper()
	declaration, err := fleet.Parse("fleet.yaml", []byte(twoServers))
	if err != nil {
		t.Fatal(err)
	}
	index := fleet.NewIndex(declaration)
	pool := balance.NewPool(balance.Config{DataCentre: "dc", Random: rand.Uint64})
	pool.Reconfigure(declaration.Services[0], index)
	in := &Ingress{config: Config{Logger: slog.New(slog.DiscardHandler)}}
	r := &race{in: in, progress: &progress{}, done: make(chan outcome)}
	r.request = &request{attemptRequest: attempts.Request{Service: &attempts.Service{Pool: pool}, MaxSent: 3}, service: &service{limit: &retryLimit{}}}
	r.hedging = attempts.NewHedging(r.request.attemptRequest, time.Millisecond, &r.progress.History)
	for range running {
		a := &attempt{in: in, request: r.request, Choice: attempts.Choice{Target: pool.Targets()[0]}, cancel: func(error) {}}
		r.running = append(r.running, a)
	}
	return r
}

// TestRefusedHedgeEndsRaceOfFailedAttempt guards against a race that never ends, or ends
// early, when an attempt fails while its hedge is still reserving a slot.
func TestRefusedHedgeEndsRaceOfFailedAttempt(t *testing.T) {
	r := newTestRace(t, 2)
	first, hedge := r.running[0], r.running[1]
	if end := r.handle(outcome{attempt: first, err: result.New(result.ConnectionLost)}); end != nil {
		t.Fatal("the race ended while a hedge was reserving a slot")
	}
	end := r.handle(outcome{attempt: hedge, err: result.New(result.Busy), hedgeRefused: true})
	if end == nil || end.attempt != first {
		t.Fatalf("ended with %+v, want the attempt that failed", end)
	}
	if r.progress.Sent != 0 {
		t.Fatal("the failure that ends the race is already recorded in progress")
	}
}

// TestLastFailureEndsRace guards against losing an earlier failure when the last attempt
// fails.
func TestLastFailureEndsRace(t *testing.T) {
	r := newTestRace(t, 2)
	first, second := r.running[0], r.running[1]
	r.handle(outcome{attempt: first, err: result.New(result.ConnectionLost)})
	end := r.handle(outcome{attempt: second, err: result.New(result.DeadlineWhileRunning)})
	if end == nil || end.attempt != second || r.progress.Sent != 1 {
		t.Fatalf("ended with %+v, %d attempts recorded in progress", end, r.progress.Sent)
	}
}

// newTestPool returns a pool with the given number of backend servers on one host.
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

// TestHedgeOfAConsumedBodyIsNotSent guards against a hedge that is sent although the body was read further than it is
// buffered while its slot was reserved: the backend server would get a cut body, and be suspected for it.
func TestHedgeOfAConsumedBodyIsNotSent(t *testing.T) {
	r := newTestRace(t, 1)
	text := strings.Repeat("x", 200_000)
	r.request.Request = httptest.NewRequest(http.MethodPut, "/x", strings.NewReader(text))
	r.request.body = body.New(httptest.NewRecorder(), r.request.Request, 1<<20)
	r.request.deadline, r.request.latency = time.Now().Add(time.Minute), latency.New()
	if err := r.request.body.Prepare(r.request.deadline); err != nil {
		t.Fatal(err)
	}
	first := *r.request.Request
	r.request.body.Rewind(&first)
	r.in.config.Host = "h1"
	r.in.config.LocalReservation = func(context.Context, hop.Call) (string, error) {
		_, err := io.Copy(io.Discard, first.Body)
		return "a slot", err
	}
	r.in.config.Local = func(context.Context, hop.Call, *http.Request) (sidecar.Answer, error) {
		t.Error("the hedge was sent")
		return sidecar.Answer{}, result.New(result.ConnectionLost)
	}
	hedge := r.running[0]
	hedge.isHedge = true
	if o := hedge.runReserved(t.Context()); !o.hedgeRefused || result.From(o.err).Code.Ran != result.RanNo {
		t.Fatalf("ended with %+v", o)
	}
}
