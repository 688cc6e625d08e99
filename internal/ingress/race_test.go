package ingress

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

const (
	twoServers = `
hosts: [{name: h1, data-centre: dc, peers: "127.0.0.1:1", control: "127.0.0.1:2"}]
services:
- name: lookup
  floor: 1
  detection: swift
  retry-share: 1
  backend-servers:
  - {name: slow, host: h1, address: "127.0.0.1:3", slots: 100}
  - {name: other, host: h1, address: "127.0.0.1:4", slots: 100}
routes: [{host: a.example, service: lookup, deadline: 5s, target: 4s}]
`
	// slowDuration is how long the slow backend server takes. It is far longer than the overdue
	// limit next to backend servers that take a few milliseconds, and far shorter than the
	// deadline.
	slowDuration = 1200 * time.Millisecond
	// fastDuration is long enough for several requests to run at each backend server in parallel.
	fastDuration = 20 * time.Millisecond
	// requestCount is how many requests are sent within half a second.
	requestCount = 120
)

// twoBackends replaces a sidecar with two backend servers: one can be slow, the other can have no
// free slot.
type twoBackends struct {
	slow    atomic.Bool
	waits   atomic.Bool  // requests at the slow one wait for a slot
	full    atomic.Bool  // the other one has no free slot and a full queue
	granted atomic.Int64 // reservations
}

func (b *twoBackends) do(ctx context.Context, call hop.Call, r *http.Request) (sidecar.Answer, error) {
	if call.BackendServer == "slow" && b.slow.Load() {
		return b.doSlowly(ctx, call, r)
	}
	if call.BackendServer == "other" && b.full.Load() {
		if call.RefuseIfBusy {
			return sidecar.Answer{}, result.New(result.Busy)
		}
		return sidecar.Answer{}, result.New(result.QueueFull)
	}
	time.Sleep(fastDuration)
	return answered(call, r), nil
}

func (b *twoBackends) doSlowly(ctx context.Context, call hop.Call, r *http.Request) (sidecar.Answer, error) {
	select {
	case <-time.After(slowDuration):
		return answered(call, r), nil
	case <-ctx.Done():
		if b.waits.Load() {
			return sidecar.Answer{}, result.New(result.CancelledBefore)
		}
		return sidecar.Answer{}, result.New(result.CallerGone)
	}
}

func answered(call hop.Call, r *http.Request) sidecar.Answer {
	response := &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Backend": {call.BackendServer}}, Request: r,
		Body: io.NopCloser(strings.NewReader("done")), ContentLength: 4,
	}
	return sidecar.Answer{Response: response}
}

func (b *twoBackends) reservation(_ context.Context, call hop.Call) (string, error) {
	if call.BackendServer == "other" && b.full.Load() {
		return "", result.New(result.Busy)
	}
	b.granted.Add(1)
	return "leave", nil
}

// newTwoBackends returns an ingress with two backend servers that have answered enough requests for
// it to know their usual latency.
func newTwoBackends(t *testing.T) (*Ingress, *twoBackends) {
	t.Helper()
	b := &twoBackends{}
	in, cleanUp := New(Config{
		Host: "h1", DataCentre: "dc", Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, HeaderBytes: 1 << 16,
		Local: b.do, LocalReservation: b.reservation,
	})
	t.Cleanup(cleanUp)
	declaration, err := fleet.Parse("fleet.yaml", []byte(twoServers))
	if err != nil {
		t.Fatal(err)
	}
	in.Reconfigure(fleet.NewIndex(declaration))
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		sendMany(in)
	}
	return in, b
}

// get sends an idempotent request and returns the status and the backend server that answered.
func get(in *Ingress) (int, string) {
	r := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
	w := httptest.NewRecorder()
	in.ServeHTTP(w, r)
	return w.Code, w.Header().Get("Backend")
}

// sendMany sends requestCount requests at short intervals, so that later ones find the evidence of
// earlier ones, and returns how many of them failed and how many the slow backend server answered.
func sendMany(in *Ingress) (failed, bySlow int64) {
	var wg sync.WaitGroup
	var failures, slowly atomic.Int64
	for range requestCount {
		time.Sleep(4 * time.Millisecond)
		wg.Go(func() {
			status, by := get(in)
			if status != http.StatusOK {
				failures.Add(1)
			}
			if by == "slow" {
				slowly.Add(1)
			}
		})
	}
	wg.Wait()
	return failures.Load(), slowly.Load()
}

// TestOverdueRequestsAreHedged guards against leaving overdue requests, running or waiting, at a
// slow backend server once another one has free slots.
func TestOverdueRequestsAreHedged(t *testing.T) {
	for name, waits := range map[string]bool{"running": false, "waiting": true} {
		t.Run(name, func(t *testing.T) {
			in, b := newTwoBackends(t)
			b.slow.Store(true)
			b.waits.Store(waits)
			b.full.Store(true)
			time.AfterFunc(slowDuration/2, func() { b.full.Store(false) })
			failed, bySlow := sendMany(in)
			if failed > 0 || bySlow > requestCount/2 || b.granted.Load() == 0 {
				t.Fatalf("%d of %d failed, the slow one answered %d, %d reservations", failed, requestCount, bySlow, b.granted.Load())
			}
		})
	}
}

// TestOverdueRequestContinuesWithoutFreeSlot guards against failing requests at a slow backend
// server while no other one has a free slot for them.
func TestOverdueRequestContinuesWithoutFreeSlot(t *testing.T) {
	in, b := newTwoBackends(t)
	b.slow.Store(true)
	b.full.Store(true)
	if failed, bySlow := sendMany(in); failed > 0 || bySlow == 0 {
		t.Fatalf("%d of %d failed, the slow one answered %d", failed, requestCount, bySlow)
	}
}
