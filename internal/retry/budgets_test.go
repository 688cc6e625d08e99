package retry_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/runs"
)

// newTestBudgets returns the budgets of a host on which two hundred requests to each service have begun, so
// that each has ten retries.
func newTestBudgets() *retry.Budgets {
	b := retry.NewBudgets(retry.Config{StartedAt: epoch})
	size := retry.Limit{Share: 0.2, Window: 10 * time.Second, Hosts: 1}
	b.SetLimits(epoch, map[string]retry.Limit{"search": size, "names": size, "prices": size})
	for range 200 {
		b.RecordRequest(epoch, "search")
		b.RecordRequest(epoch, "names")
	}
	return b
}

// left counts the retries that are left, by taking them all and giving them back.
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

// TestCallsOfARepeat goes through what calls do to the limit of the service that is called.
func TestCallsOfARepeat(t *testing.T) {
	first := runs.Run{ID: "first", Service: "search"}
	retried := runs.Run{ID: "repeat", Service: "search", Retry: true}
	b := newTestBudgets()
	step := func(what string, want int) {
		t.Helper()
		if got := left(b, "names"); got != want {
			t.Fatalf("%s: %d repeats are left, want %d", what, got, want)
		}
	}
	step("before", 10)
	b.BeginRun(epoch, first, nil)
	b.RecordCall(epoch, first, "names")
	b.FinishRun(epoch, first)
	step("a first run has called", 10)
	b.BeginRun(epoch, retried, nil)
	step("a repeat runs", 9)
	b.RecordCall(epoch, retried, "names")
	step("it has called", 9)
	b.RecordCall(epoch, retried, "names")
	step("it has called once more than any before", 8)
	b.End(epoch, "names", true)
	b.End(epoch, "names", false)
	b.FinishRun(epoch, retried)
	step("it has ended, and one of its calls was not sent", 9)
	b.BeginRun(epoch, retried, nil)
	step("the next repeat may call twice", 7)
	b.FinishRun(epoch, retried)
	step("it has not called", 9)
}

// TestCallsOfAnotherService lets runs call a service to which no other requests begin here: the
// first retry calls without room for it, and no other runs before that is paid back.
func TestCallsOfAnotherService(t *testing.T) {
	b := newTestBudgets()
	retried := runs.Run{ID: "r", Service: "search", Retry: true}
	if !b.BeginRun(epoch, retried, nil) {
		t.Fatal("a repeat of which nobody knows that it calls was refused")
	}
	b.RecordCall(epoch, retried, "prices")
	b.End(epoch, "prices", true)
	b.FinishRun(epoch, retried)
	if b.BeginRun(epoch, retried, nil) || b.MayRun(epoch, "search") {
		t.Fatal("a repeat runs without room for its calls")
	}
	if !b.MayRun(epoch, "names") {
		t.Fatal("a repeat of another service is refused")
	}
	for range 40 {
		b.RecordRequest(epoch, "prices")
	}
	if !b.MayRun(epoch, "search") {
		t.Fatal("a repeat is refused though there is room for its calls")
	}
}

// TestLend lends what can be spared: it counts here from the last moment at which the other may make it.
func TestLend(t *testing.T) {
	b := newTestBudgets()
	lent := 0
	for b.Lend(epoch, "names") {
		lent++
	}
	if lent != 10 || left(b, "names") != 0 {
		t.Fatalf("%d of ten repeats are lent, %d are left", lent, left(b, "names"))
	}
	const window = 10 * time.Second
	until := epoch.Add(retry.LentFor(window))
	for now := epoch; now.Before(until.Add(window)); now = now.Add(window / 8) {
		if b.RecordRequest(now, "search"); b.Lend(now, "names") {
			t.Fatalf("more is lent after %v, though what was lent may have been made within a window", now.Sub(epoch))
		}
	}
	now := until.Add(window + window/8)
	for range 60 {
		b.RecordRequest(now, "names")
	}
	for n := range 4 {
		if b.Lend(now, "names") != (n < 3) {
			t.Fatal("what was lent does not end, or too much is lent then")
		}
	}
}

// TestWhatRunsCallIsForgotten waits until what was learned is out of date.
func TestWhatRunsCallIsForgotten(t *testing.T) {
	b := newTestBudgets()
	run := runs.Run{ID: "a", Service: "search"}
	b.BeginRun(epoch, run, nil)
	b.RecordCall(epoch, run, "prices")
	for minute, want := range []bool{false, false, true} {
		if now := epoch.Add(time.Duration(minute) * time.Minute); b.MayRun(now, "search") != want {
			t.Fatalf("after %d minutes a repeat may run: %t", minute, !want)
		}
	}
}

// TestAServiceThatIsDeclaredAgainHasNothingTwice takes a service out of the declaration and back, within a
// window and after two.
func TestAServiceThatIsDeclaredAgainHasNothingTwice(t *testing.T) {
	size := retry.Limit{Share: 0.2, Slack: 8, Window: 10 * time.Second, Hosts: 1}
	both, one := map[string]retry.Limit{"search": size, "names": size}, map[string]retry.Limit{"search": size}
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
				t.Fatalf("%d repeats, want %d", taken, want)
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

// TestAnotherWindowBeginsAnew changes the window's length: nobody has a part of the slack before a
// window is over.
func TestAnotherWindowBeginsAnew(t *testing.T) {
	b := retry.NewBudgets(retry.Config{StartedAt: epoch})
	size := retry.Limit{Slack: 8, Window: 10 * time.Second, Hosts: 1}
	b.SetLimits(epoch, map[string]retry.Limit{"names": size})
	now := epoch.Add(time.Minute)
	if !b.Available(now, "names") {
		t.Fatal("no repeats")
	}
	size.Window = 5 * time.Second
	b.SetLimits(now, map[string]retry.Limit{"names": size})
	if b.Available(now.Add(4*time.Second), "names") {
		t.Fatal("repeats within a window of the change")
	}
	if !b.Available(now.Add(5*time.Second), "names") {
		t.Fatal("no repeats a window after the change")
	}
}
