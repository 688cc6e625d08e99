package retry_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/runs"
)

// knownRuns is the number of answered runs from which the calls of a route are known.
const knownRuns = 20

// answer lets that many runs of the route begin, call names the given number of times each, and be
// answered.
func answer(b *retry.Budgets, now time.Time, route string, count, calls int) {
	for n := range count {
		run := runs.Run{ID: fmt.Sprintf("%s-%d", route, n), Service: "search", Route: route, Long: true}
		b.BeginRun(now, run, nil)
		for range calls {
			b.RecordCall(now, run, "names")
		}
		b.RecordAnswered(now, run)
		b.FinishRun(now, run)
	}
}

// newCallingBudgets returns the budgets of a host with no retries of names left, where runs of
// search on the route "calling" each call names twice, and those of the route "quiet" never do.
func newCallingBudgets() *retry.Budgets {
	b := retry.NewBudgets(retry.Config{StartedAt: epoch})
	limit := retry.Limit{Share: 0.2, Window: 10 * time.Second, Hosts: 1}
	b.SetLimits(epoch, map[string]retry.Limit{"search": limit, "names": limit})
	answer(b, epoch, "calling", 1, 2)
	answer(b, epoch, "quiet", knownRuns, 0)
	return b
}

// TestRetriesOfARouteThatCallsNothingRun guards against retries that are refused for lack of retries
// for calls that only the runs of another route make.
func TestRetriesOfARouteThatCallsNothingRun(t *testing.T) {
	tests := []struct {
		name string
		run  runs.Run
		want bool
	}{
		{"a route that calls nothing", runs.Run{Route: "quiet", Long: true}, true},
		{"a route that calls", runs.Run{Route: "calling", Long: true}, false},
		{"an unknown route", runs.Run{Route: "new", Long: true}, false},
		{"no route, as from an older daemon", runs.Run{Long: true}, false},
		{"a request that is not long", runs.Run{Route: "quiet"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newCallingBudgets()
			test.run.ID, test.run.Service, test.run.Retry = "r", "search", true
			if got := b.MayRun(epoch, test.run); got != test.want {
				t.Errorf("may run: %t", got)
			}
			if got := len(b.Shortfall(epoch, test.run)) == 0; got != test.want {
				t.Errorf("has what it needs: %t", got)
			}
			if got := b.BeginRun(epoch, test.run, nil); got != test.want {
				t.Errorf("begins: %t", got)
			}
		})
	}
}

// TestRouteIsKnownAfterEnoughAnsweredRuns guards against a route whose calls are taken as known after
// a few runs, or after runs that did not get to their calls.
func TestRouteIsKnownAfterEnoughAnsweredRuns(t *testing.T) {
	retried := runs.Run{Service: "search", Route: "other", Long: true, Retry: true}
	b := newCallingBudgets()
	for n := range 10 * knownRuns {
		run := runs.Run{ID: fmt.Sprintf("rejected-%d", n), Service: "search", Route: "other", Long: true}
		b.BeginRun(epoch, run, nil)
		b.FinishRun(epoch, run)
		run.ID = ""
		b.RecordAnswered(epoch, run)
	}
	answer(b, epoch, "other", knownRuns-1, 0)
	if b.MayRun(epoch, retried) {
		t.Fatalf("the route is known after %d answered runs", knownRuns-1)
	}
	answer(b, epoch, "other", 1, 0)
	if !b.MayRun(epoch, retried) {
		t.Fatalf("the route is not known after %d answered runs", knownRuns)
	}
	answer(b, epoch, "other", 1, 1)
	if b.MayRun(epoch, retried) {
		t.Fatal("a call of the route's last run is not expected")
	}
}

// TestCallsOfARouteAreForgotten guards against a route that is taken as known, or as calling, long
// after its runs showed it.
func TestCallsOfARouteAreForgotten(t *testing.T) {
	retried := func(route string) runs.Run {
		return runs.Run{Service: "search", Route: route, Long: true, Retry: true}
	}
	for _, test := range []struct {
		name  string
		later time.Duration
		known bool
	}{
		{"within a minute", 59 * time.Second, true},
		{"within two minutes", 119 * time.Second, true},
		{"after two minutes", 120 * time.Second, false},
		{"after ten minutes", 10 * time.Minute, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newCallingBudgets()
			now := epoch.Add(test.later)
			answer(b, now, "calling", 1, 1) // otherwise the service's calls are forgotten as well
			if b.MayRun(now, retried("quiet")) != test.known {
				t.Errorf("the quiet route is known: %t", !test.known)
			}
			if b.MayRun(now, retried("calling")) {
				t.Error("the calls of the calling route are not expected")
			}
		})
	}
}

// TestUnexpectedCallIsChargedAndExpected guards against a call of a retry that was not expected and
// that is not counted, or that the next retry of the route makes as well.
func TestUnexpectedCallIsChargedAndExpected(t *testing.T) {
	b := newCallingBudgets()
	for range 40 {
		b.RecordRequest(epoch, "names")
	}
	retried := runs.Run{ID: "r", Service: "search", Route: "quiet", Long: true, Retry: true}
	before := left(b, "names")
	if !b.BeginRun(epoch, retried, nil) || left(b, "names") != before {
		t.Fatal("a retry that is expected to call nothing was refused, or reserves retries")
	}
	if !b.RecordCall(epoch, retried, "names") || left(b, "names") != before-1 {
		t.Fatalf("%d of %d retries are left after an unexpected call", left(b, "names"), before)
	}
	b.FinishRun(epoch, retried)
	retried.ID = "next"
	if !b.BeginRun(epoch, retried, nil) || left(b, "names") != before-2 {
		t.Fatalf("%d of %d retries are left, want one less for the next retry", left(b, "names"), before)
	}
}

// TestCallsOfASharedIDCountForEachRoute guards against calls that are attributed to one route while
// requests of two routes run with the same id, so that the other route seems to call nothing.
func TestCallsOfASharedIDCountForEachRoute(t *testing.T) {
	b := newCallingBudgets()
	routes := []string{"quiet", "other"}
	run := func(route string) runs.Run {
		return runs.Run{ID: "shared", Service: "search", Route: route, Long: true}
	}
	for _, route := range routes {
		b.BeginRun(epoch, run(route), nil)
	}
	b.RecordCall(epoch, run("other"), "names")
	answer(b, epoch, "other", knownRuns, 0)
	for _, route := range routes {
		if b.MayRun(epoch, runs.Run{Service: "search", Route: route, Long: true, Retry: true}) {
			t.Errorf("the call is not expected of the route %s", route)
		}
	}
}

// TestShortRequestsAreDecidedWithoutRoutes guards against routes that change decisions on requests that are not long: two
// hosts with the same history, one of which learns routes, decide every retry of a short request alike.
func TestShortRequestsAreDecidedWithoutRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair()
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				p.now = p.now.Add(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
			},
			"requests": func(t *rapid.T) {
				service := rapid.SampledFrom([]string{"search", "names"}).Draw(t, "service")
				for range rapid.IntRange(1, 40).Draw(t, "count") {
					p.each(func(b *retry.Budgets, _ bool) any { b.RecordRequest(p.now, service); return nil })
				}
			},
			"first runs": func(t *rapid.T) {
				route := rapid.SampledFrom([]string{"quiet", "calling"}).Draw(t, "route")
				long := rapid.Bool().Draw(t, "long")
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					p.runFirst(route, long)
				}
			},
			"a retry": func(t *rapid.T) {
				p.beginRetry(rapid.SampledFrom([]string{"quiet", "calling"}).Draw(t, "route"), rapid.Bool().Draw(t, "borrows"))
			},
			"an end": func(*rapid.T) { p.finishOldest() },
			"": func(t *rapid.T) {
				if p.different != "" {
					t.Fatal(p.different)
				}
			},
		})
	})
}

// pair is a host that learns the routes of its runs, and one that does not.
type pair struct {
	told, untold *retry.Budgets
	now          time.Time
	begun        int
	running      []runs.Run
	different    string
}

func newPair() *pair {
	p := &pair{now: epoch}
	limit := retry.Limit{Share: 0.2, Slack: 8, Window: 10 * time.Second, Hosts: 1}
	for _, b := range []**retry.Budgets{&p.told, &p.untold} {
		*b = retry.NewBudgets(retry.Config{Host: "h", StartedAt: epoch})
		(*b).SetLimits(epoch, map[string]retry.Limit{"search": limit, "names": limit})
	}
	return p
}

// each does the same on both hosts and compares the results.
func (p *pair) each(do func(b *retry.Budgets, told bool) any) any {
	told, untold := do(p.told, true), do(p.untold, false)
	if !reflect.DeepEqual(told, untold) {
		p.different = fmt.Sprintf("with routes %v, without %v", told, untold)
	}
	return untold
}

// on returns the run as the host sees it.
func on(run runs.Run, told bool) runs.Run {
	if !told {
		run.Route, run.Long = "", false
	}
	return run
}

// runFirst lets a first run begin, call names if its route does, and be answered.
func (p *pair) runFirst(route string, long bool) {
	p.begun++
	run := runs.Run{ID: fmt.Sprint(p.begun), Service: "search", Route: route, Long: long}
	p.each(func(b *retry.Budgets, told bool) any {
		began := b.BeginRun(p.now, on(run, told), nil)
		if route == "calling" {
			b.RecordCall(p.now, on(run, told), "names")
		}
		b.RecordAnswered(p.now, on(run, told))
		b.FinishRun(p.now, on(run, told))
		return began
	})
}

// beginRetry begins the retry of a short request, with borrowed retries for its calls if it borrows.
func (p *pair) beginRetry(route string, borrows bool) {
	p.begun++
	run := runs.Run{ID: fmt.Sprint(p.begun), Service: "search", Route: route, Retry: true}
	p.each(func(b *retry.Budgets, told bool) any { return b.MayRun(p.now, on(run, told)) })
	missing := p.each(func(b *retry.Budgets, told bool) any { return b.Shortfall(p.now, on(run, told)) }).([]string)
	if !borrows {
		missing = nil
	}
	if p.each(func(b *retry.Budgets, told bool) any { return b.BeginRun(p.now, on(run, told), missing) }).(bool) {
		p.running = append(p.running, run)
	}
	p.each(func(b *retry.Budgets, _ bool) any { return b.Available(p.now, "names") })
}

// finishOldest finishes the oldest retry, which calls names if its route does.
func (p *pair) finishOldest() {
	if len(p.running) == 0 {
		return
	}
	run := p.running[0]
	p.running = p.running[1:]
	p.each(func(b *retry.Budgets, told bool) any {
		if run.Route == "calling" && b.RecordCall(p.now, on(run, told), "names") {
			b.End(p.now, "names", true)
		}
		b.FinishRun(p.now, on(run, told))
		return b.Available(p.now, "names")
	})
}

// TestSheddingServiceUsesItsRetries guards against retries that are refused for calls that their route never makes while a
// service sheds, and against a limit that is exceeded. Part of it is earned for the next window or left at other hosts.
func TestSheddingServiceUsesItsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		perSecond := rapid.Float64Range(80, 150).Draw(t, "requests of search a second")
		f := newSimFleet(seed, faults{failing: 0.01, calls: 0.2, shed: 0.55, routes: true})
		f.simulate(map[serviceName]float64{search: perSecond})
		for _, service := range []serviceName{search, names} {
			if over, retries := f.maxExcess(service); over > 0 {
				t.Fatalf("%s: %d retries in a window, %.1f beyond the limit", service, retries, over)
			}
		}
		if count := f.refusedForCalls[quietRoute]; count > 0 {
			t.Fatalf("%d retries of the route that calls nothing were refused for lack of retries for calls", count)
		}
		used := within(f.retries[search], epoch.Add(shedFrom))
		allowed := fleetShare*perSecond*fleetWindow.Seconds() + fleetSlack
		if float64(used) < 0.45*allowed {
			t.Fatalf("%d retries of %.0f that the limit allows", used, allowed)
		}
	})
}
