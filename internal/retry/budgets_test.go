package retry_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/runs"
)

// newTestBudgets returns the budgets of a host on which two hundred requests to each of two
// services have begun, so that each service has ten retries.
func newTestBudgets() *retry.Budgets {
	b := retry.NewBudgets(retry.Config{StartedAt: epoch})
	limit := retry.Limit{Share: 0.2, Window: 10 * time.Second, Hosts: 1}
	b.SetLimits(epoch, map[string]retry.Limit{"search": limit, "names": limit, "prices": limit})
	for range 200 {
		b.RecordRequest(epoch, "search")
		b.RecordRequest(epoch, "names")
	}
	return b
}

// left returns the number of retries left, by taking them all and returning them.
func left(b *retry.Budgets, service string) int {
	count := 0
	for b.Take(epoch, service) {
		count++
	}
	for range count {
		b.End(epoch, service, false)
	}
	return count
}

// TestCallsOfARetry guards against calls of a retry that are not counted, or counted twice, in the
// budget of the called service.
func TestCallsOfARetry(t *testing.T) {
	first := runs.Run{ID: "first", Service: "search"}
	retried := runs.Run{ID: "repeat", Service: "search", Retry: true}
	b := newTestBudgets()
	step := func(what string, want int) {
		t.Helper()
		if got := left(b, "names"); got != want {
			t.Fatalf("%s: %d retries are left, want %d", what, got, want)
		}
	}
	step("before", 10)
	b.BeginRun(epoch, first, nil)
	b.RecordCall(epoch, first, "names")
	b.FinishRun(epoch, first)
	step("a first run has called", 10)
	b.BeginRun(epoch, retried, nil)
	step("a retry runs", 9)
	b.RecordCall(epoch, retried, "names")
	step("it has called", 9)
	b.RecordCall(epoch, retried, "names")
	step("it has called more often than any run before", 8)
	b.End(epoch, "names", true)
	b.End(epoch, "names", false)
	b.FinishRun(epoch, retried)
	step("it has ended, and one of its calls was not sent", 9)
	b.BeginRun(epoch, retried, nil)
	step("the next retry may call twice", 7)
	b.FinishRun(epoch, retried)
	step("it has not called", 9)
}

// TestCallsOfAnotherService guards against retries that run without room for their calls, when the
// called service gets no other requests on this host.
func TestCallsOfAnotherService(t *testing.T) {
	b := newTestBudgets()
	retried := runs.Run{ID: "r", Service: "search", Retry: true}
	if !b.BeginRun(epoch, retried, nil) {
		t.Fatal("a retry without known calls is refused")
	}
	b.RecordCall(epoch, retried, "prices")
	b.End(epoch, "prices", true)
	b.FinishRun(epoch, retried)
	if b.BeginRun(epoch, retried, nil) || b.MayRun(epoch, runs.Run{Service: "search"}) {
		t.Fatal("a retry runs without room for its calls")
	}
	if !b.MayRun(epoch, runs.Run{Service: "names"}) {
		t.Fatal("a retry of another service is refused")
	}
	for range 40 {
		b.RecordRequest(epoch, "prices")
	}
	if !b.MayRun(epoch, runs.Run{Service: "search"}) {
		t.Fatal("a retry is refused though there is room for its calls")
	}
}

// TestLend guards against loans that exceed the budget, or that end before the borrower must have
// used them.
func TestLend(t *testing.T) {
	b := newTestBudgets()
	lent := 0
	for b.Lend(epoch, "names") {
		lent++
	}
	if lent != 10 || left(b, "names") != 0 {
		t.Fatalf("%d of ten retries are lent, %d are left", lent, left(b, "names"))
	}
	const window = 10 * time.Second
	until := epoch.Add(retry.LoanTTL(window))
	for now := epoch; now.Before(until.Add(window)); now = now.Add(window / 8) {
		if b.RecordRequest(now, "search"); b.Lend(now, "names") {
			t.Fatalf("more is lent after %v, though the loans may have been used within a window", now.Sub(epoch))
		}
	}
	now := until.Add(window + window/8)
	for range 60 {
		b.RecordRequest(now, "names")
	}
	for n := range 4 {
		if b.Lend(now, "names") != (n < 3) {
			t.Fatal("the loans do not end, or too much is lent afterwards")
		}
	}
}

// TestOldCallsAreForgotten guards against calls that limit the retries of a service long after its
// runs stopped making them.
func TestOldCallsAreForgotten(t *testing.T) {
	b := newTestBudgets()
	run := runs.Run{ID: "a", Service: "search"}
	b.BeginRun(epoch, run, nil)
	b.RecordCall(epoch, run, "prices")
	for minute, want := range []bool{false, false, true} {
		if now := epoch.Add(time.Duration(minute) * time.Minute); b.MayRun(now, runs.Run{Service: "search"}) != want {
			t.Fatalf("after %d minutes a retry may run: %t", minute, !want)
		}
	}
}

// TestRedeclaredServiceGetsItsSlackOnce guards against a service that gets its slack twice
// by being removed from the declaration and added again.
func TestRedeclaredServiceGetsItsSlackOnce(t *testing.T) {
	limit := retry.Limit{Share: 0.2, Slack: 8, Window: 10 * time.Second, Hosts: 1}
	both, one := map[string]retry.Limit{"search": limit, "names": limit}, map[string]retry.Limit{"search": limit}
	b := retry.NewBudgets(retry.Config{StartedAt: epoch})
	b.SetLimits(epoch, both)
	now := epoch.Add(10 * time.Second)
	const slack = 6 // three quarters
	take := func(want int) {
		t.Helper()
		for taken := 0; ; taken++ {
			if b.Take(now, "names") {
				continue
			}
			if taken != want {
				t.Fatalf("%d retries, want %d", taken, want)
			}
			break
		}
	}
	take(slack)
	b.SetLimits(now, one)
	take(0)
	b.SetLimits(now, both)
	take(0)
	for range slack {
		b.End(now, "names", true)
	}
	b.SetLimits(now, one)
	now = now.Add(5 * time.Second)
	b.SetLimits(now, both)
	take(0)
	b.SetLimits(now, one)
	now = now.Add(16 * time.Second)
	b.SetLimits(now, one)
	b.SetLimits(now, both)
	take(slack)
}

// TestWindowChangeRestartsTheBudget guards against a share of the slack that is used twice when
// the window's length changes.
func TestWindowChangeRestartsTheBudget(t *testing.T) {
	b := retry.NewBudgets(retry.Config{StartedAt: epoch})
	limit := retry.Limit{Slack: 8, Window: 10 * time.Second, Hosts: 1}
	b.SetLimits(epoch, map[string]retry.Limit{"names": limit})
	now := epoch.Add(time.Minute)
	if !b.Available(now, "names") {
		t.Fatal("no retries")
	}
	limit.Window = 5 * time.Second
	b.SetLimits(now, map[string]retry.Limit{"names": limit})
	if b.Available(now.Add(4*time.Second), "names") {
		t.Fatal("retries within a window of the change")
	}
	if !b.Available(now.Add(5*time.Second), "names") {
		t.Fatal("no retries a window after the change")
	}
}
