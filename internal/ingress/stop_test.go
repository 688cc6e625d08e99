package ingress

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

// TestPlannedStopAnswersPendingRequests guards against wrong or late answers to pending requests at
// the end of a planned stop: one that runs may have run, one that waits for a slot was not run.
func TestPlannedStopAnswersPendingRequests(t *testing.T) {
	for name, c := range map[string]struct {
		waits bool
		want  int
	}{
		"running": {false, http.StatusGatewayTimeout},
		"waiting": {true, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			in, b := newTwoBackends(t)
			b.slow.Store(true)
			b.full.Store(true)
			b.waits.Store(c.waits)
			time.AfterFunc(slowDuration/4, in.AnswerAll)
			began := time.Now()
			status, _ := get(in)
			if status != c.want || time.Since(began) > slowDuration/2 {
				t.Fatalf("status %d after %v, want %d immediately", status, time.Since(began), c.want)
			}
		})
	}
}

// TestStoppingIngressSendsNothingItWouldGiveUp guards against requests that a planned stop sends to a backend server and
// gives up while it runs them: those that arrive after the stop has begun, whose body arrives then, or that are retried.
func TestStoppingIngressSendsNothingItWouldGiveUp(t *testing.T) {
	const deadline = 5 * time.Second // of the route
	tests := []struct {
		name, method, deadline string
		stopsIn                time.Duration // from when the request is sent to the final answers
		want                   int
	}{
		{"may outlast the stop", http.MethodPost, "", deadline - time.Second, http.StatusServiceUnavailable},
		{"idempotent, may outlast the stop", http.MethodGet, "", deadline - time.Second, http.StatusServiceUnavailable},
		{"ends before the stop", http.MethodPost, "", deadline + time.Second, http.StatusOK},
		{"its caller waits for less than the stop", http.MethodPost, "3000", deadline - time.Second, http.StatusOK},
		{"its caller waits for more than the stop", http.MethodPost, "4500", deadline - time.Second, http.StatusServiceUnavailable},
		{"the final answers are due", http.MethodGet, "3000", 0, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in, sent := newCountingIngress(t, nil)
			in.BeginShutdown(time.Now().Add(test.stopsIn))
			w := send(in, test.method, test.deadline)
			refused := test.want != http.StatusOK
			if w.Code != test.want || refused != (sent.Load() == 0) {
				t.Fatalf("status %d after %d attempts, want %d", w.Code, sent.Load(), test.want)
			}
			if refused && (w.Header().Get(result.Header) != "2002 stopping" || w.Header().Get("Retry-After") == "") {
				t.Fatalf("refused with headers %v", w.Header())
			}
		})
	}
	t.Run("a body arrives after the stop has begun", func(t *testing.T) {
		in, sent := newCountingIngress(t, nil)
		r := httptest.NewRequest(http.MethodPost, "http://a.example/x", readerFunc(func(p []byte) (int, error) {
			in.BeginShutdown(time.Now().Add(deadline - time.Second))
			return copy(p, "7"), io.EOF
		}))
		r.ContentLength = 1 // short bodies are read before the request is sent
		w := httptest.NewRecorder()
		in.ServeHTTP(w, r)
		if w.Code != http.StatusServiceUnavailable || sent.Load() > 0 {
			t.Fatalf("status %d after %d attempts, want 503 after none", w.Code, sent.Load())
		}
	})
	t.Run("a retry after the stop has begun", func(t *testing.T) {
		var in *Ingress
		in, sent := newCountingIngress(t, func() error {
			in.BeginShutdown(time.Now().Add(deadline - time.Second))
			return result.New(result.QueueFull)
		})
		if w := send(in, http.MethodGet, ""); w.Code != http.StatusServiceUnavailable || sent.Load() != 1 {
			t.Fatalf("status %d after %d attempts, want 503 after one", w.Code, sent.Load())
		}
	})
}

// newCountingIngress returns an ingress and the number of its attempts. They are answered unless fail returns an error.
func newCountingIngress(t *testing.T, fail func() error) (*Ingress, *atomic.Int64) {
	t.Helper()
	sent := new(atomic.Int64)
	in := newLocalIngress(t, twoServers, func(_ context.Context, call hop.Call, r *http.Request) (sidecar.Answer, error) {
		sent.Add(1)
		if fail != nil {
			if err := fail(); err != nil {
				return sidecar.Answer{}, err
			}
		}
		return answered(call, r), nil
	})
	return in, sent
}

// newLocalIngress returns an ingress with the declaration, whose backend servers are all on its own host. It has retries left
// for the service lookup.
func newLocalIngress(t *testing.T, declaration string, local func(context.Context, hop.Call, *http.Request) (sidecar.Answer, error)) *Ingress {
	t.Helper()
	budgets := retry.NewBudgets(retry.Config{StartedAt: time.Now()})
	in, cleanUp := New(Config{
		Host: "h1", DataCentre: "dc", Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, HeaderBytes: 1 << 16,
		Local: local, Retries: budgets,
		LocalReservation: func(context.Context, hop.Call) (string, error) { return "a slot", nil },
	})
	t.Cleanup(cleanUp)
	parsed, err := fleet.Parse("fleet.yaml", []byte(declaration))
	if err != nil {
		t.Fatal(err)
	}
	in.Reconfigure(fleet.NewIndex(parsed))
	for range 100 {
		budgets.RecordRequest(time.Now(), "lookup")
	}
	return in
}

// send sends a request with a deadline header, unless that is empty, and returns the response.
func send(in *Ingress, method, deadline string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "http://a.example/x", http.NoBody)
	if deadline != "" {
		r.Header.Set(in.callers().DeadlineHeader, deadline)
	}
	w := httptest.NewRecorder()
	in.ServeHTTP(w, r)
	return w
}

// readerFunc reads by calling itself.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
