package sidecar

import (
	"testing"
	"time"

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
	m := offerMessage{attempt: newAttempt(call), request: newRequest(id, call, now.Add(time.Minute)), reply: make(chan grant, 1)}
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
