package sidecar

import (
	"context"
	"fmt"
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
)

// newCallingTask returns a task whose backend server makes two calls to the service names for each
// request, and its host's retry budgets, in which only those two requests to names are counted.
func newCallingTask(now time.Time) (*task, *retry.Budgets) {
	t := newTestTask()
	budgets := retry.NewBudgets(retry.Config{StartedAt: now})
	size := retry.Limit{Share: 0.2, Window: 10 * time.Second, Hosts: 1}
	budgets.SetLimits(now, map[string]retry.Limit{t.declared.Service.Name: size, "names": size})
	run := runs.Run{ID: "a", Service: t.declared.Service.Name}
	budgets.BeginRun(now, run, nil)
	budgets.RecordCall(now, run, "names")
	budgets.RecordCall(now, run, "names")
	budgets.FinishRun(now, run)
	t.config.Retries = budgets
	return t, budgets
}

// offer offers the task a request and returns the reply.
func offer(t *task, now time.Time, id uint64, call hop.Call) grant {
	m := offerMessage{
		attempt: newAttempt(call), request: newRequest(id, call, now.Add(time.Minute)),
		route: call.Route, long: isLong(t.config.LongLatencyTarget, call), reply: make(chan grant, 1),
	}
	t.offer(now, &m)
	return <-m.reply
}

// TestRetryNeedsBudgetForItsCalls guards against a retry that is admitted although the calls of its
// backend server would exceed the retry limit of the called service.
func TestRetryNeedsBudgetForItsCalls(t *testing.T) {
	now := time.Now()
	calling, budgets := newCallingTask(now)
	if g := offer(calling, now, 1, hop.Call{}); g.err != nil {
		t.Fatalf("first attempt refused: %v", g.err)
	}
	g := offer(calling, now, 2, hop.Call{Retry: true})
	if g.err == nil || g.err.Code.Number != result.RetryLimit.Number {
		t.Fatalf("retry without budget for its calls: got %v, want the retry limit", g.err)
	}
	const requests = 40 // a quarter of a fifth of them is two retries
	for range requests {
		budgets.RecordRequest(now, "names")
	}
	if g := offer(calling, now, 3, hop.Call{Retry: true}); g.err != nil {
		t.Fatalf("retry with budget for its calls refused: %v", g.err)
	}
}

// TestFinishedRetryReturnsReservedBudget guards against a retry whose reserved budget is granted
// twice, or is not returned when the retry ends.
func TestFinishedRetryReturnsReservedBudget(t *testing.T) {
	now := time.Now()
	calling, budgets := newCallingTask(now)
	for range 40 {
		budgets.RecordRequest(now, "names")
	}
	run := runs.Run{ID: "b", Service: calling.declared.Service.Name, Retry: true}
	if !budgets.BeginRun(now, run, nil) || budgets.Available(now, "names") {
		t.Fatal("retry did not start, or left the budget for its calls available to others")
	}
	if g := offer(calling, now, 1, hop.Call{Retry: true}); g.err == nil {
		t.Fatal("another retry was granted the reserved budget")
	}
	budgets.FinishRun(now, run)
	if g := offer(calling, now, 2, hop.Call{Retry: true}); g.err != nil {
		t.Fatalf("reserved budget was not returned: %v", g.err)
	}
}

const (
	longTarget = 750 * time.Millisecond
	quietRoute = "a.example/quiet"
)

// TestLongRetryIsAdmittedByItsRoute guards against the retry of a long request that is refused for calls
// of other routes, and against any other retry that is admitted because of its route.
func TestLongRetryIsAdmittedByItsRoute(t *testing.T) {
	tests := []struct {
		name       string
		longTarget time.Duration // of the sidecar's settings
		call       hop.Call
		want       bool
	}{
		{"long", longTarget, hop.Call{Route: quietRoute, LatencyTarget: longTarget}, true},
		{"not long", longTarget, hop.Call{Route: quietRoute, LatencyTarget: longTarget - 1}, false},
		{"a latency target that is not known", longTarget, hop.Call{Route: quietRoute}, false},
		{"a call of a long one", longTarget, hop.Call{Route: quietRoute, Long: true}, true},
		{"a call of a long one, without the setting", 0, hop.Call{Route: quietRoute, Long: true}, false},
		{"without the setting", 0, hop.Call{Route: quietRoute, LatencyTarget: longTarget}, false},
		{"from a daemon that sends no route", longTarget, hop.Call{LatencyTarget: longTarget}, false},
		{"of another route", longTarget, hop.Call{Route: "a.example/other", LatencyTarget: longTarget}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			calling, budgets := newCallingTask(now)
			calling.config.LongLatencyTarget = test.longTarget
			for n := range 20 {
				run := runs.Run{ID: fmt.Sprint(n), Service: calling.declared.Service.Name, Route: quietRoute}
				budgets.BeginRun(now, run, nil)
				budgets.RecordAnswered(now, run)
				budgets.FinishRun(now, run)
			}
			test.call.Retry = true
			g := offer(calling, now, 1, test.call)
			if admitted := g.err == nil; admitted != test.want {
				t.Fatalf("admitted: %t (%v)", admitted, g.err)
			}
			if g.err != nil && g.err.Code.Number != result.RetryLimit.Number {
				t.Fatalf("refused with %v, want the retry limit", g.err)
			}
		})
	}
}

const callingServers = `
hosts: [{name: h1, data-centre: dc, peers: "127.0.0.1:1", control: "127.0.0.1:2"}]
callers: {id-header: Request-Id}
services:
- name: lookup
  floor: 1
  backend-servers: [{name: a, host: h1, address: "ADDRESS"}]
routes: [{host: a.example, service: lookup}]
`

// callingSidecar is a sidecar with one backend server, of whose runs one has called names, of which no
// retry is left.
type callingSidecar struct {
	*Sidecar
	budgets *retry.Budgets
	scope   tally.TestScope
	status  int // of the backend server's answers
	sent    int
}

func newCallingSidecar(t *testing.T) *callingSidecar {
	t.Helper()
	c := &callingSidecar{status: http.StatusOK, scope: tally.NewTestScope("", nil)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(c.status)
	}))
	t.Cleanup(server.Close)
	declaration, err := fleet.Parse("fleet.yaml", []byte(strings.ReplaceAll(callingServers, "ADDRESS", server.Listener.Addr().String())))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	c.budgets = retry.NewBudgets(retry.Config{StartedAt: now})
	limit := retry.Limit{Share: 0.2, Window: 10 * time.Second, Hosts: 1}
	c.budgets.SetLimits(now, map[string]retry.Limit{"lookup": limit, "names": limit})
	run := runs.Run{ID: "calling", Service: "lookup", Route: "a.example/calling"}
	c.budgets.BeginRun(now, run, nil)
	c.budgets.RecordCall(now, run, "names")
	c.budgets.FinishRun(now, run)
	var cleanUp func()
	c.Sidecar, cleanUp = New(Config{
		Host: "h1", LongLatencyTarget: longTarget, Logger: slog.New(slog.DiscardHandler), Scope: c.scope, Retries: c.budgets,
		Peer: Peer{ClearSuspicion: func([]string, string) {}},
	})
	t.Cleanup(cleanUp)
	c.Reconfigure(fleet.NewIndex(declaration))
	return c
}

// run sends a request of the quiet route and returns the error.
func (c *callingSidecar) run(ctx context.Context, retried bool) error {
	c.sent++
	r := httptest.NewRequest(http.MethodGet, "http://a.example/quiet", http.NoBody)
	r.Header.Set("Request-Id", fmt.Sprint(c.sent))
	call := hop.Call{BackendServer: "a", TimeLeft: time.Minute, LatencyTarget: longTarget, LatencyTargetLeft: longTarget, Route: quietRoute, Retry: retried, DespiteSuspicion: true}
	answer, err := c.Do(ctx, call, r)
	if err != nil {
		return err
	}
	return answer.Response.Body.Close()
}

// TestOnlyAnsweredRunsShowWhatARouteCalls guards against a route that is taken as calling nothing because
// its requests failed, or were shed, before they came to their calls.
func TestOnlyAnsweredRunsShowWhatARouteCalls(t *testing.T) {
	const enough = 20
	for status, want := range map[int]bool{
		http.StatusOK: true, http.StatusNotFound: true,
		http.StatusInternalServerError: false, http.StatusServiceUnavailable: false, http.StatusTooManyRequests: false,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := newCallingSidecar(t)
			c.status = status
			for range enough {
				if err := c.run(t.Context(), false); err != nil {
					t.Fatal(err)
				}
			}
			err := c.run(t.Context(), true)
			if ran := err == nil; ran != want {
				t.Fatalf("after %d answers with status %d a retry ran: %t (%v)", enough, status, ran, err)
			}
			refused := c.scope.Snapshot().Counters()["sidecar_retries_refused_for_calls+service=lookup"]
			if counted := refused.Value() == 1; counted == want {
				t.Fatalf("%d refusals counted", refused.Value())
			}
		})
	}
}
