package sidecar

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/runs"
)

// newCallingTask returns a task whose backend server makes two calls of names for each request, and
// its host's budgets, in which no request to names has been counted but these.
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

// offer offers the task a request and returns what it says.
func offer(t *task, now time.Time, id uint64, call hop.Call) grant {
	m := offerMessage{attempt: newAttempt(call), request: newRequest(id, call, now.Add(time.Minute)), reply: make(chan grant, 1)}
	t.offer(now, &m)
	return <-m.reply
}

// TestARepeatNeedsRoomForItsCalls offers a retry to a backend server whose calls would be retries
// beyond the limit of the service that it calls.
func TestARepeatNeedsRoomForItsCalls(t *testing.T) {
	now := time.Now()
	calling, budgets := newCallingTask(now)
	if g := offer(calling, now, 1, hop.Call{}); g.err != nil {
		t.Fatalf("a first sending was refused: %v", g.err)
	}
	g := offer(calling, now, 2, hop.Call{Retry: true})
	if g.err == nil || g.err.Code.Number != result.RetryLimit.Number {
		t.Fatalf("a repeat without room for its calls got %v", g.err)
	}
	const requests = 40 // a quarter of a fifth of them is two retries
	for range requests {
		budgets.RecordRequest(now, "names")
	}
	if g := offer(calling, now, 3, hop.Call{Retry: true}); g.err != nil {
		t.Fatalf("a repeat with room for its calls was refused: %v", g.err)
	}
}

// TestARepeatThatIsNotSentKeepsNothing begins a retry, by which its calls' retries are kept, and
// ends it: they are left again.
func TestARepeatThatIsNotSentKeepsNothing(t *testing.T) {
	now := time.Now()
	calling, budgets := newCallingTask(now)
	for range 40 {
		budgets.RecordRequest(now, "names")
	}
	run := runs.Run{ID: "b", Service: calling.declared.Service.Name, Retry: true}
	if !budgets.BeginRun(now, run, nil) || budgets.Available(now, "names") {
		t.Fatal("what a repeat may call is not kept for it")
	}
	if g := offer(calling, now, 1, hop.Call{Retry: true}); g.err == nil {
		t.Fatal("another repeat got what is kept")
	}
	budgets.FinishRun(now, run)
	if g := offer(calling, now, 2, hop.Call{Retry: true}); g.err != nil {
		t.Fatalf("what was kept is not left again: %v", g.err)
	}
}
