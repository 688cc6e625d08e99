package soak

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/test/backendserver"
	"github.com/tideliftd/tidelift/test/harness"
)

// runsOf returns how often each key was run, by the ledgers of all backend servers and of the killed ones.
func runsOf(t *testing.T, f *harness.Fleet, lost []backendserver.Ledger) map[string]int {
	t.Helper()
	ledgers := slices.Clone(lost)
	for _, b := range f.Backends {
		ledger, err := b.Ledger()
		if err != nil {
			t.Fatal(err)
		}
		ledgers = append(ledgers, ledger)
	}
	runs := make(map[string]int)
	for _, ledger := range ledgers {
		for key, n := range ledger.Runs {
			runs[key] += n
		}
	}
	return runs
}

// checkResponses compares the callers' responses with the runs: a response belongs to its request and is complete, a
// request reported as not run was not run, and a non-idempotent request runs at most once.
func checkResponses(t *testing.T, samples []sample, runs map[string]int) {
	t.Helper()
	counts := make(map[outcome]int)
	for _, s := range samples {
		counts[s.outcome]++
		n := runs[s.key]
		switch {
		case s.outcome == outcomeMismatch || s.outcome == outcomeTruncated:
			t.Errorf("%s: %s", s.key, s.outcome)
		case s.outcome == outcomeNotRun && n > 0:
			t.Errorf("%s was reported as not run but ran %d times", s.key, n)
		case s.outcome == outcomeUnread && n > 0:
			t.Errorf("%s was sent behind the last response of its connection but ran %d times", s.key, n)
		case s.outcome == outcomeOK && n == 0:
			t.Errorf("%s succeeded but never ran", s.key)
		case s.method != idempotent && n > 1:
			t.Errorf("%s ran %d times", s.key, n)
		}
	}
	t.Logf("%d requests: %v, for %v", len(samples), counts, reasons(samples))
	connected := len(samples) - counts[outcomeRefused] - counts[outcomeUnread]
	if counts[outcomeOK] <= connected/2 {
		t.Errorf("%d of %d requests on a connection succeeded: too few to show anything", counts[outcomeOK], connected)
	}
}

// checkNothingCut fails the test for each request that was cut off or given up.
func checkNothingCut(t *testing.T, samples []sample, runs map[string]int) {
	t.Helper()
	for _, s := range samples {
		if s.outcome == outcomeBroken || s.outcome == outcomeIndeterminate {
			t.Errorf("%s was cut off after %d runs: %s %s", s.key, runs[s.key], s.outcome, s.err)
		}
	}
}

// reasons counts the requests that did not succeed by result code, or by the innermost connection error.
func reasons(samples []sample) map[string]int {
	counts := make(map[string]int)
	for _, s := range samples {
		if s.outcome != outcomeOK {
			parts := strings.Split(s.err, ": ")
			counts[cmp.Or(parts[len(parts)-1], string(s.outcome))]++
		}
	}
	return counts
}

// checkFloor fails the test if, at any moment, the whole fleet had fewer backend servers of the service in service
// than its floor. It returns the number of ejections.
func checkFloor(t *testing.T, f *harness.Fleet, s harness.Service) int {
	t.Helper()
	events, err := f.Events()
	if err != nil {
		t.Fatal(err)
	}
	least, ejections := leastServing(events, s)
	t.Logf("%s: %d ejections, at least %d of %d in service, floor %d", s.Name, ejections, least, s.Servers, s.Floor)
	if least < s.Floor {
		t.Errorf("%s: %d of %d in service, floor %d", s.Name, least, s.Servers, s.Floor)
	}
	return ejections
}

// leastServing returns the smallest number of backend servers of a service that were not ejected at the same time,
// and the number of ejections, by the sidecars' logs.
func leastServing(events []harness.LogEvent, s harness.Service) (least, ejections int) {
	slices.SortStableFunc(events, func(a, b harness.LogEvent) int { return a.Time.Compare(b.Time) })
	ejected := make(map[string]string) // daemon by backend server
	least = s.Servers
	for _, e := range events {
		if e.Event == event.DaemonStarted.Number {
			maps.DeleteFunc(ejected, func(_, daemon string) bool { return daemon == e.Daemon })
		}
		if e.Observer != "" || e.Service != s.Name {
			continue // an ingress only avoids a backend server, which is no ejection
		}
		switch e.Event {
		case event.ServerEjected.Number:
			ejected[e.BackendServer] = e.Daemon
			ejections++
		case event.ServerReturned.Number:
			delete(ejected, e.BackendServer)
		}
		least = min(least, s.Servers-len(ejected))
	}
	return least, ejections
}
