package retry

import (
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/runs"
)

// callRetention is the minimum time for which the calls of a service's runs are remembered. It is
// short, since releases change the calls, and a run with unusually many should not count for long.
const callRetention = time.Minute

// callPath identifies the calls from the runs of one service to another service.
type callPath struct{ from, to string }

// running is a request that a backend server runs, or several with the same id.
type running struct {
	count    int
	routes   []runRoute     // routes of the requests with the id; usually one
	made     map[string]int // number of calls, by service
	reserved map[string]int // number of retries reserved for calls, by service
	// borrowed holds the expiry times of the retries borrowed for calls, by service.
	borrowed map[string][]time.Time
}

// MayRun reports whether a retry may run at a backend server of its service on this host: whether
// the retries for its calls are left or may be borrowed.
func (b *Budgets) MayRun(now time.Time, run runs.Run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, called := range b.shortfall(now, run) {
		if !b.mayBorrow(now, called) {
			return false
		}
	}
	return true
}

// Shortfall returns the services of which retries have to be borrowed before the retry runs on this
// host. A service appears once for each retry.
func (b *Budgets) Shortfall(now time.Time, run runs.Run) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shortfall(now, run)
}

// shortfall implements Shortfall. The caller holds mu.
func (b *Budgets) shortfall(now time.Time, run runs.Run) []string {
	b.rotateCalls(now)
	b.endExpiredLoans(now)
	var shortfall []string
	for called, count := range b.expected(now, run) {
		for range count - b.budget(called).Remaining(now) {
			shortfall = append(shortfall, called)
		}
	}
	return shortfall
}

// expected returns the number of calls that the run may make, by the service called: what the runs
// of its route were seen to call if the request is long and its route is known, or else what any
// run of its service was seen to call. The caller holds mu.
func (b *Budgets) expected(now time.Time, run runs.Run) map[string]int {
	if run.Long && run.Route != "" {
		if expected, known := b.routes.expected(now, runRoute{run.Service, run.Route}); known {
			return expected
		}
	}
	return b.expectedOfService(run.Service)
}

// expectedOfService returns the largest number of calls that a run of the service was seen to make,
// by the service called. The caller holds mu.
func (b *Budgets) expectedOfService(service string) map[string]int {
	expected := make(map[string]int)
	for _, calls := range []map[callPath]int{b.calls, b.previousCalls} {
		for path, count := range calls {
			if path.from == service {
				expected[path.to] = max(expected[path.to], count)
			}
		}
	}
	return expected
}

// rotateCalls drops old call counts. The caller holds mu.
func (b *Budgets) rotateCalls(now time.Time) {
	if now.Sub(b.callsSince) < callRetention {
		return
	}
	b.calls, b.previousCalls, b.callsSince = make(map[callPath]int), b.calls, now
}

// BeginRun records that a backend server of the host is sent the request. For a retry it reserves
// the retries for its calls, including the borrowed ones. If they are not available, it returns
// false, and the request must not be sent; otherwise the caller must call FinishRun.
func (b *Budgets) BeginRun(now time.Time, run runs.Run, borrowed []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run.Retry && len(b.shortfall(now, run)) > len(borrowed) {
		return false
	}
	if run.ID == "" {
		return true
	}
	r, ok := b.running[run.ID]
	if !ok {
		r = &running{made: make(map[string]int), reserved: make(map[string]int), borrowed: make(map[string][]time.Time)}
		b.running[run.ID] = r
	}
	r.count++
	r.addRoute(run)
	if run.Retry {
		b.reserve(now, r, b.expected(now, run), borrowed)
	}
	return true
}

// addRoute adds the route of a request with the id.
func (r *running) addRoute(run runs.Run) {
	route := runRoute{run.Service, run.Route}
	if run.Route != "" && !slices.Contains(r.routes, route) {
		r.routes = append(r.routes, route)
	}
}

// reserve reserves retries for the expected calls of the run. The caller holds mu.
func (b *Budgets) reserve(now time.Time, r *running, expected map[string]int, borrowed []string) {
	for _, service := range borrowed {
		r.borrowed[service] = append(r.borrowed[service], now.Add(LoanTTL(b.limits[service].Window)))
		expected[service]--
	}
	for service, count := range expected {
		for range count {
			r.reserved[service]++
			b.budget(service).Charge()
		}
	}
}

// FinishRun records that a run has ended, and returns unused retries that were reserved for its
// calls.
func (b *Budgets) FinishRun(now time.Time, run runs.Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.running[run.ID]
	if !ok {
		return
	}
	r.count--
	if r.count > 0 {
		return
	}
	delete(b.running, run.ID)
	for service, count := range r.reserved {
		for range count {
			b.budget(service).End(now, false)
		}
	}
}

// RecordCall records that a run of the host calls the service, and reports whether the caller must
// call End for it. A call of a retry uses what was reserved for it, or else what is left, and is
// made even if nothing is left. A call of a first run counts as a request.
func (b *Budgets) RecordCall(now time.Time, from runs.Run, service string) (mustEnd bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.running[from.ID]
	if ok {
		b.learnCall(now, callPath{from.Service, service}, r)
	}
	if !from.Retry {
		b.budget(service).CountRequest(now)
		return false
	}
	if ok && r.useBorrowed(now, service) {
		return false
	}
	if ok && r.reserved[service] > 0 {
		r.reserved[service]--
		return true
	}
	b.budget(service).Charge()
	return true
}

// learnCall updates the call counts of the run, its service and its route. If requests of several
// routes have the run's id, the call counts for each of them. The caller holds mu.
func (b *Budgets) learnCall(now time.Time, path callPath, r *running) {
	b.rotateCalls(now)
	r.made[path.to]++
	b.calls[path] = max(b.calls[path], r.made[path.to])
	for _, route := range r.routes {
		b.routes.recordCall(now, route, path.to, r.made[path.to])
	}
}

// useBorrowed removes a retry that was borrowed for a call of the service, and reports whether
// there was one that had not expired.
func (r *running) useBorrowed(now time.Time, service string) bool {
	borrowed := r.borrowed[service]
	if len(borrowed) == 0 {
		return false
	}
	r.borrowed[service] = borrowed[1:]
	return now.Before(borrowed[0])
}
