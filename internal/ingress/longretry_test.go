package ingress

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
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

const (
	longAndShortRoutes = `
hosts: [{name: h1, data-centre: dc, peers: "127.0.0.1:1", control: "127.0.0.1:2"}]
callers: {id-header: Request-Id}
services:
- {name: names, floor: 1, retry-share: 1, backend-servers: [SERVERS]}
routes:
- {host: long.example, path: /pages, service: names, target: 800ms, deadline: 5s}
- {host: short.example, service: names, target: 500ms, deadline: 5s}
`
	refusingServers = 12
)

// refusingIngress is an ingress whose first attempt of each request ends with the outcome first, and whose further ones
// are refused with the codes in then, the last of which is repeated.
type refusingIngress struct {
	in     *Ingress
	runs   *runs.Table
	first  func(r *http.Request) (sidecar.Answer, error)
	then   []result.Code
	calls  []hop.Call
	counts map[string]int // of refusals, by the name of the code
}

func (f *refusingIngress) do(_ context.Context, call hop.Call, r *http.Request) (sidecar.Answer, error) {
	f.calls = append(f.calls, call)
	if len(f.calls) == 1 {
		return f.first(r)
	}
	code := f.then[min(len(f.calls)-2, len(f.then)-1)]
	f.counts[code.Name]++
	return sidecar.Answer{}, result.New(code)
}

func newRefusingIngress(t *testing.T, longTarget time.Duration) *refusingIngress {
	t.Helper()
	f := &refusingIngress{runs: runs.New(), counts: make(map[string]int)}
	budgets := retry.NewBudgets(retry.Config{StartedAt: time.Now()})
	in, cleanUp := New(Config{
		Host: "h1", DataCentre: "dc", LongLatencyTarget: longTarget, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, HeaderBytes: 1 << 16,
		Local: f.do, LocalReservation: noSlotForHedges, Runs: f.runs, Retries: budgets,
	})
	t.Cleanup(cleanUp)
	servers := make([]string, 0, refusingServers)
	for n := range refusingServers {
		servers = append(servers, fmt.Sprintf(`{name: s%d, host: h1, address: "127.0.0.1:%d", slots: 100}`, n, n+3))
	}
	declaration, err := fleet.Parse("fleet.yaml", []byte(strings.ReplaceAll(longAndShortRoutes, "SERVERS", strings.Join(servers, ", "))))
	if err != nil {
		t.Fatal(err)
	}
	in.Reconfigure(fleet.NewIndex(declaration))
	for range 100 {
		budgets.RecordRequest(time.Now(), "names")
	}
	f.in = in
	return f
}

// get sends a request with the id "r.1" and returns the answer.
func (f *refusingIngress) get(url string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, url, http.NoBody)
	r.Header.Set("Request-Id", "r.1")
	w := httptest.NewRecorder()
	f.in.ServeHTTP(w, r)
	return w
}

// serverError answers a request with status 500.
func serverError(r *http.Request) (sidecar.Answer, error) {
	const text = "the backend server's own words"
	return sidecar.Answer{Response: &http.Response{
		StatusCode: http.StatusInternalServerError, Header: http.Header{"Content-Type": {"text/x-own"}}, Request: r,
		Body: io.NopCloser(strings.NewReader(text)), ContentLength: int64(len(text)),
	}}, nil
}

// failWith returns a function that fails a request with the code.
func failWith(code result.Code) func(*http.Request) (sidecar.Answer, error) {
	return func(*http.Request) (sidecar.Answer, error) { return sidecar.Answer{}, result.New(code) }
}

// TestThreeRetryRefusalsEndALongRequest guards against a long request that queries each backend server although none has
// retries for its calls, and against the loss of its answer or failure, or a wrong "not run".
func TestThreeRetryRefusalsEndALongRequest(t *testing.T) {
	tests := []struct {
		name   string
		first  func(*http.Request) (sidecar.Answer, error)
		then   []result.Code
		status int
		code   result.Code // zero if the answer is the backend server's
	}{
		{"after an error answer", serverError, []result.Code{result.RetryLimit}, http.StatusInternalServerError, result.Code{}},
		{"after an error answer, between busy ones", serverError, []result.Code{result.RetryLimit, result.Busy, result.RetryLimit, result.Busy, result.RetryLimit}, http.StatusInternalServerError, result.Code{}},
		{"after a lost connection", failWith(result.ConnectionLost), []result.Code{result.RetryLimit}, http.StatusBadGateway, result.ConnectionLost},
		{"after a lost connection, between busy ones", failWith(result.ConnectionLost), []result.Code{result.Busy, result.RetryLimit, result.RetryLimit, result.Busy, result.RetryLimit}, http.StatusBadGateway, result.ConnectionLost},
		{"after it was shed", failWith(result.NotTaken), []result.Code{result.RetryLimit}, http.StatusServiceUnavailable, result.NotTaken},
		{"after it was shed, and one was busy", failWith(result.NotTaken), []result.Code{result.RetryLimit, result.Busy, result.RetryLimit}, http.StatusServiceUnavailable, result.Busy},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newRefusingIngress(t, 750*time.Millisecond)
			f.first, f.then = test.first, test.then
			w := f.get("http://long.example/pages/1")
			if refusals := f.counts[result.RetryLimit.Name]; refusals != 3 {
				t.Errorf("%d backend servers refused for lack of retries, want 3", refusals)
			}
			if w.Code != test.status {
				t.Errorf("status %d, want %d", w.Code, test.status)
			}
			number, _, _ := strings.Cut(w.Header().Get(result.Header), " ")
			if test.code.Number != 0 && number != fmt.Sprint(test.code.Number) {
				t.Errorf("code %q, want %d", number, test.code.Number)
			}
			if test.code.Number == 0 && (w.Body.String() != "the backend server's own words" || w.Header().Get("Content-Type") != "text/x-own") {
				t.Errorf("answer %q of type %q is not the backend server's", w.Body, w.Header().Get("Content-Type"))
			}
		})
	}
}

// TestOtherRequestsAskOn guards against an earlier end for requests that are not long, and where no request
// is long: after a busy refusal they ask all others, as before.
func TestOtherRequestsAskOn(t *testing.T) {
	for name, test := range map[string]struct {
		longTarget time.Duration
		url        string
	}{
		"a short request":     {750 * time.Millisecond, "http://short.example/pages/1"},
		"without the setting": {0, "http://long.example/pages/1"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRefusingIngress(t, test.longTarget)
			f.first, f.then = serverError, []result.Code{result.Busy, result.RetryLimit}
			f.get(test.url)
			const others = refusingServers - 1 // all but the one that failed
			if refusals := f.counts[result.RetryLimit.Name]; refusals != others {
				t.Errorf("%d retries were refused, want one at each of the %d others", refusals, others)
			}
			for _, call := range f.calls {
				if call.Route != "" {
					t.Errorf("the route %q is sent", call.Route)
				}
			}
		})
	}
}

// TestCallOfALongRequestNamesItsRoute guards against sidecars that do not learn the route of a long
// request, or learn the path of the request instead.
func TestCallOfALongRequestNamesItsRoute(t *testing.T) {
	f := newRefusingIngress(t, 750*time.Millisecond)
	f.first, f.then = serverError, []result.Code{result.RetryLimit}
	f.get("http://long.example/pages/1")
	for _, call := range f.calls {
		if call.Route != "long.example/pages" {
			t.Errorf("the route is %q", call.Route)
		}
	}
}

// TestThreeRefusalsEndTheCallOfARetry guards against the call of a retried run that queries all backend servers
// although three had no retries for its own calls, and against an end other than "not run".
func TestThreeRefusalsEndTheCallOfARetry(t *testing.T) {
	f := newRefusingIngress(t, 750*time.Millisecond)
	f.first, f.then = failWith(result.RetryLimit), []result.Code{result.Busy, result.RetryLimit}
	f.runs.Begin(time.Now(), runs.Run{ID: "r", Service: "search", Retry: true})
	w := f.get("http://long.example/pages/1")
	if len(f.calls) != 4 || f.counts[result.RetryLimit.Name] != 2 {
		t.Errorf("%d backend servers were asked, want three without retries and a busy one", len(f.calls))
	}
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d, want %d", w.Code, http.StatusServiceUnavailable)
	}
}
