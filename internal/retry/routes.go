package retry

import (
	"time"

	"github.com/tideliftd/tidelift/internal/runs"
)

// minRouteRuns is the number of answered runs of a route from which their calls are known. If a run of the route makes
// a call with probability p, a retry makes one that is not expected with probability p(1-p)^20, which is at most 1.8%.
const minRouteRuns = 20

// runRoute identifies the runs of a service that serve one route.
type runRoute struct{ service, route string }

// routeCalls is what the runs of a route were seen to call.
type routeCalls struct {
	answered int            // number of answered runs
	most     map[string]int // largest number of calls of one run, by the service called
}

// routeMemory remembers the calls by route for at least callRetention, and for less than twice that.
type routeMemory struct {
	current, previous map[runRoute]*routeCalls
	since             time.Time // of current
}

func newRouteMemory(now time.Time) *routeMemory {
	return &routeMemory{current: make(map[runRoute]*routeCalls), since: now}
}

// recordAnswered records that a run of the route was answered.
func (m *routeMemory) recordAnswered(now time.Time, r runRoute) { m.entry(now, r).answered++ }

// recordCall records that a run of the route has called the service for the made-th time.
func (m *routeMemory) recordCall(now time.Time, r runRoute, called string, made int) {
	calls := m.entry(now, r)
	calls.most[called] = max(calls.most[called], made)
}

// expected returns the number of calls that a run of the route may make, by the service called, and
// false if too few runs were seen to know.
func (m *routeMemory) expected(now time.Time, r runRoute) (map[string]int, bool) {
	m.rotate(now)
	answered := 0
	expected := make(map[string]int)
	for _, memory := range []map[runRoute]*routeCalls{m.current, m.previous} {
		calls, ok := memory[r]
		if !ok {
			continue
		}
		answered += calls.answered
		for called, count := range calls.most {
			expected[called] = max(expected[called], count)
		}
	}
	return expected, answered >= minRouteRuns
}

// entry returns the current entry of the route.
func (m *routeMemory) entry(now time.Time, r runRoute) *routeCalls {
	m.rotate(now)
	calls, ok := m.current[r]
	if !ok {
		calls = &routeCalls{most: make(map[string]int)}
		m.current[r] = calls
	}
	return calls
}

// rotate drops what was seen too long ago.
func (m *routeMemory) rotate(now time.Time) {
	age := now.Sub(m.since)
	switch {
	case age < callRetention:
		return
	case age < 2*callRetention:
		m.previous = m.current
	default:
		m.previous = nil
	}
	m.current, m.since = make(map[runRoute]*routeCalls), now
}

// RecordAnswered records that a run was answered, so that it has made all its calls. A run that its
// backend server rejected, or that failed, does not show what its route calls and must not be
// recorded, nor must one without an id, whose calls cannot be traced.
func (b *Budgets) RecordAnswered(now time.Time, run runs.Run) {
	if run.Route == "" || run.ID == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routes.recordAnswered(now, runRoute{run.Service, run.Route})
}
