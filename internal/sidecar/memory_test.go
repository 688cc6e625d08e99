package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/fingerprint"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/store"
)

const oneArchive = `
hosts: [{name: h1, data-centre: dc, peers: "127.0.0.1:1", control: "127.0.0.1:2"}]
services:
- name: archive
  floor: 1
  backend-servers: [{name: a, host: h1, address: %q, slots: 1}]
routes: [{host: a.example, service: archive}]
`

// hopTo is the address of a sidecar that has one backend server with one slot, and how many requests reached that.
type hopTo struct {
	sidecar *Sidecar
	url     string
	scope   tally.TestScope
	memory  *body.Memory
	ran     atomic.Int64
}

func newHopTo(t *testing.T, limit int64, quarantines *quarantinesync.Syncer) *hopTo {
	t.Helper()
	h := &hopTo{scope: tally.NewTestScope("", nil)}
	h.memory = body.NewMemory(body.MemoryConfig{Limit: limit, Scope: h.scope})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ran.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(backend.Close)
	s, cleanUp := New(Config{
		Host: "h1", Logger: slog.New(slog.DiscardHandler), Scope: h.scope, Quarantine: quarantines, BodyMemory: h.memory,
	})
	t.Cleanup(cleanUp)
	declaration, err := fleet.Parse("fleet.yaml", fmt.Appendf(nil, oneArchive, backend.Listener.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	s.Reconfigure(fleet.NewIndex(declaration))
	peers := httptest.NewServer(s.Handler())
	t.Cleanup(peers.Close)
	h.sidecar, h.url = s, peers.URL
	return h
}

// send sends the call with the body, if that is not nil, and returns the answer. The call has 10 s left unless it says
// otherwise.
func (h *hopTo) send(t *testing.T, call hop.Call, sent io.Reader) *http.Response {
	t.Helper()
	method := http.MethodPost
	if sent == nil {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, h.url+"/x", sent)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	call.BackendServer, call.LatencyTargetLeft = "a", 10*time.Second
	if call.TimeLeft == 0 {
		call.TimeLeft = 10 * time.Second
	}
	if err := call.Encode(r.Header); err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response
}

// checkRefused reports an answer that is not the refusal for lack of memory, and a request that ran.
func (h *hopTo) checkRefused(t *testing.T, response *http.Response) {
	t.Helper()
	refusal, after := response.Header.Get(result.Header), response.Header.Get(hop.HeaderRetryAfter)
	if response.StatusCode != http.StatusServiceUnavailable || refusal != "2029 body-memory" || after != "1000" {
		t.Errorf("status %d, %q, retry after %q ms", response.StatusCode, refusal, after)
	}
	if h.ran.Load() != 0 {
		t.Errorf("%d requests ran", h.ran.Load())
	}
	if counted := h.scope.Snapshot().Counters()["sidecar_refusals+reason=body-memory"]; counted == nil || counted.Value() != 1 {
		t.Errorf("the refusal was counted as %v", counted)
	}
}

// TestRefusedBodyReleasesItsReservation guards against a slot that stays reserved for a request that was refused for
// lack of memory, and against a request without a body that is refused for it.
func TestRefusedBodyReleasesItsReservation(t *testing.T) {
	h := newHopTo(t, 100, nil)
	reserved := h.send(t, hop.Call{Host: "h2", NonIdempotent: true, WantReservation: true}, nil).Header.Get(hop.HeaderReservation)
	if reserved == "" {
		t.Fatal("no reservation was granted")
	}
	refused := h.send(t, hop.Call{Host: "h2", NonIdempotent: true, Reservation: reserved}, strings.NewReader(strings.Repeat("x", 51)))
	h.checkRefused(t, refused)
	if got := h.send(t, hop.Call{Host: "h2", RefuseIfBusy: true}, nil); got.StatusCode != http.StatusNoContent {
		t.Errorf("a GET got %d, %q", got.StatusCode, got.Header.Get(result.Header))
	}
	if h.memory.Used() != 0 {
		t.Errorf("%d bytes are held", h.memory.Used())
	}
}

// newQuarantines returns quarantines in which one request to the path /x ended a backend server.
func newQuarantines(t *testing.T) *quarantinesync.Syncer {
	t.Helper()
	quarantines := quarantinesync.New(quarantinesync.Config{
		Host: "h1", Scope: tally.NoopScope, Logger: slog.New(slog.DiscardHandler), OnError: func(error) {}, OnAnswer: func() {},
		NotifyService: func(string, []quarantine.Record) {},
		Store: store.Store{
			List: func(ctx context.Context, _ string) (store.Batch, error) {
				<-ctx.Done()
				return store.Batch{}, ctx.Err()
			},
			Grant:  func(context.Context, time.Duration) (store.Lease, error) { return 1, nil },
			Commit: func(context.Context, store.Change) (int64, error) { return 1, nil },
		},
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go quarantines.Run(ctx)
	ended := fingerprint.Request{Method: http.MethodPost, Host: "a.example", Path: "/x"}
	quarantines.RecordEnd(ended, "archive", quarantine.End{Server: "a"})
	return quarantines
}

// TestBodyThatCannotBeIdentifiedIsNotSent guards against a request that passes the quarantine because no memory is left
// for the part of its body that identifies it.
func TestBodyThatCannotBeIdentifiedIsNotSent(t *testing.T) {
	h := newHopTo(t, 20_000, newQuarantines(t))
	inChunks := io.MultiReader(strings.NewReader(strings.Repeat("x", 30_000)))
	h.checkRefused(t, h.send(t, hop.Call{Host: "h2"}, inChunks))
}
