package ingress

import (
	"context"
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
	"github.com/tideliftd/tidelift/internal/runs"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

const limitedServers = `
hosts: [{name: h1, data-centre: dc, peers: "127.0.0.1:1", control: "127.0.0.1:2"}]
callers: {id-header: Request-Id}
services:
- name: names
  floor: 1
  retry-share: 0.2
  backend-servers:
  - {name: a, host: h1, address: "127.0.0.1:3", slots: 1000}
  - {name: b, host: h1, address: "127.0.0.1:4", slots: 1000}
  - {name: c, host: h1, address: "127.0.0.1:5", slots: 1000}
routes: [{host: a.example, service: names}]
`

// limitedIngress is an ingress whose backend servers lose every connection.
type limitedIngress struct {
	in      *Ingress
	runs    *runs.Table
	budgets *retry.Budgets
	sent    atomic.Int64 // requests that reached a backend server
	retries atomic.Int64 // of these, requests marked as retries
	long    atomic.Int64 // of these, requests to which the rules for long requests apply
	reject  *result.Code // refusal of each retry; nil if retries reach a backend server
	lent    atomic.Int64 // retries that another host lent
}

// do refuses retries with l.reject if it is set, and loses the connection of all other requests.
func (l *limitedIngress) do(_ context.Context, call hop.Call, _ *http.Request) (sidecar.Answer, error) {
	if call.Retry && l.reject != nil {
		return sidecar.Answer{}, result.New(*l.reject)
	}
	l.sent.Add(1)
	if call.Retry {
		l.retries.Add(1)
	}
	if call.Long {
		l.long.Add(1)
	}
	return sidecar.Answer{}, result.New(result.ConnectionLost)
}

// lend lends a retry to requests to the service that have none left, if the budgets permit borrowing.
func (l *limitedIngress) lend(context.Context, string) bool {
	if !l.budgets.MayBorrow(time.Now(), "names") {
		return false
	}
	l.lent.Add(1)
	return true
}

// noSlotForHedges refuses the reservation of a hedge, which a request gets if the machine is too busy to answer it in time.
func noSlotForHedges(context.Context, hop.Call) (string, error) {
	return "", result.New(result.Busy)
}

func newLimitedIngress(t *testing.T, reject *result.Code) *limitedIngress {
	t.Helper()
	l := &limitedIngress{runs: runs.New(), budgets: retry.NewBudgets(retry.Config{StartedAt: time.Now()}), reject: reject}
	in, cleanUp := New(Config{
		Host: "h1", DataCentre: "dc", Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, HeaderBytes: 1 << 16,
		Local: l.do, LocalReservation: noSlotForHedges, Runs: l.runs, Retries: l.budgets, BorrowRetry: l.lend,
	})
	t.Cleanup(cleanUp)
	declaration, err := fleet.Parse("fleet.yaml", []byte(limitedServers))
	if err != nil {
		t.Fatal(err)
	}
	in.Reconfigure(fleet.NewIndex(declaration))
	l.in = in
	return l
}

// send sends count requests with the ID, one after the other.
func (l *limitedIngress) send(count int, id string) {
	for range count {
		r := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
		r.Header.Set("Request-Id", id)
		l.in.ServeHTTP(httptest.NewRecorder(), r)
	}
}

// TestRetryLimitBoundsRetries guards against more retries than the limit allows. Requests sent
// in a burst earn a quarter of the retry share.
func TestRetryLimitBoundsRetries(t *testing.T) {
	l := newLimitedIngress(t, nil)
	l.send(100, "a")
	if sent, retries := l.sent.Load(), l.retries.Load(); sent != 105 || retries != 5 {
		t.Fatalf("100 requests were sent %d times, %d of them as retries", sent, retries)
	}
	if l.budgets.Available(time.Now(), "names") {
		t.Fatal("retries are left")
	}
}

// TestRetryThatReachesNoServerIsNotCounted guards against counting retries that found no slot or no
// connection.
func TestRetryThatReachesNoServerIsNotCounted(t *testing.T) {
	for _, code := range []result.Code{result.Busy, result.QueueFull, result.ServerUnreachable, result.RetryLimit} {
		t.Run(code.Name, func(t *testing.T) {
			l := newLimitedIngress(t, &code)
			for range 39 {
				l.budgets.RecordRequest(time.Now(), "names")
			}
			l.send(1, "a")
			if l.sent.Load() != 1 {
				t.Fatalf("%d requests sent", l.sent.Load())
			}
			for n := range 2 {
				if !l.budgets.Take(time.Now(), "names") {
					t.Fatalf("%d of two retries are left", n)
				}
			}
		})
	}
}

// TestRefusedRetryKeepsItsLoan guards against a request that borrows a retry again, or fails for want
// of one, because a backend server refused the attempt for which it was borrowed.
func TestRefusedRetryKeepsItsLoan(t *testing.T) {
	code := result.QueueFull
	l := newLimitedIngress(t, &code)
	l.budgets = retry.NewBudgets(retry.Config{StartedAt: time.Now(), Borrows: true})
	l.in.config.Retries = l.budgets
	declaration, err := fleet.Parse("fleet.yaml", []byte(limitedServers))
	if err != nil {
		t.Fatal(err)
	}
	l.in.state.Load().services["names"].limit.budgets = l.budgets
	l.in.Reconfigure(fleet.NewIndex(declaration))
	l.send(1, "a")
	if l.lent.Load() != 1 {
		t.Fatalf("%d retries were borrowed for one request, want 1", l.lent.Load())
	}
}

// TestSubrequestOfRetryCountsAsRetry guards against subrequests of a retry that are not marked and
// counted as retries, or that add to the retry budget.
func TestSubrequestOfRetryCountsAsRetry(t *testing.T) {
	l := newLimitedIngress(t, nil)
	l.send(199, "a") // nine retries
	l.runs.Begin(time.Now(), runs.Run{ID: "r", Service: "search", Retry: true})
	l.send(2, "r.1")
	if sent, retries := l.sent.Load(), l.retries.Load(); sent != 199+9+2 || retries != 9+2 {
		t.Fatalf("%d requests sent, %d of them retries", sent, retries)
	}
	l.send(40, "a")
	if retries := l.retries.Load(); retries != 11 {
		t.Fatalf("%d retries after 239 requests and two subrequests of a retry", retries)
	}
}

// TestSubrequestOfLongRequestIsLong guards against a call whose loss loses a long request, and to which the rules
// for long requests do not apply.
func TestSubrequestOfLongRequestIsLong(t *testing.T) {
	for _, long := range []bool{false, true} {
		l := newLimitedIngress(t, nil)
		l.runs.Begin(time.Now(), runs.Run{ID: "r", Service: "search", Long: long})
		l.send(1, "r.1")
		if got := l.long.Load() > 0; got != long {
			t.Fatalf("a call of a run with long %t: long %t", long, got)
		}
	}
}

// TestRefusedSubrequestOfRetryIsNotRun guards against running a subrequest of a retry, or reporting
// that it may have run, when all backend servers refuse it for lack of retry budget for their calls.
func TestRefusedSubrequestOfRetryIsNotRun(t *testing.T) {
	code := result.RetryLimit
	l := newLimitedIngress(t, &code)
	l.runs.Begin(time.Now(), runs.Run{ID: "r", Service: "search", Retry: true})
	r := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
	r.Header.Set("Request-Id", "r.1")
	w := httptest.NewRecorder()
	l.in.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || l.sent.Load() != 0 {
		t.Fatalf("status %d, %d requests sent", w.Code, l.sent.Load())
	}
}
