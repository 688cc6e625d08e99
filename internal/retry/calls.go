package retry

import (
	"time"

	"github.com/tideliftd/tidelift/internal/runs"
)

// learnedFor is the least time for which it is remembered what runs of a service call. Source:
// services change what they call when they are released, and a run that called more than
// others should not count for long.
const learnedFor = time.Minute

// callPath is whose runs call which service.
type callPath struct{ from, to string }

// running is a request that a backend server runs, or several of the same id.
type running struct {
	count    int
	made     map[string]int // calls, by service
	reserved map[string]int // retries that are reserved for calls, by service
	// borrowed are retries that others lent for calls, by service, each until when it is good.
	borrowed map[string][]time.Time
}

// MayRun reports whether a retry may run at a backend server of the service on this host: whether
// the retries that its calls will be are left or may be borrowed.
func (b *Budgets) MayRun(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, called := range b.missing(now, service) {
		if !b.mayBorrow(now, called) {
			return false
		}
	}
	return true
}

// Shortfall returns the services of which a retry has to be borrowed before one of that service runs
// here, each as often as that.
func (b *Budgets) Shortfall(now time.Time, service string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.missing(now, service)
}

// missing is Missing. The caller holds mu.
func (b *Budgets) missing(now time.Time, service string) []string {
	b.forgetOld(now)
	b.endLent(now)
	var missing []string
	for called, count := range b.expected(service) {
		for range count - b.budget(called).Left(now) {
			missing = append(missing, called)
		}
	}
	return missing
}

// expected returns how many calls a run of the service may make, by the service called. The caller
// holds mu.
func (b *Budgets) expected(service string) map[string]int {
	expected := make(map[string]int)
	for _, calls := range []map[callPath]int{b.calls, b.callsBefore} {
		for path, count := range calls {
			if path.from == service {
				expected[path.to] = max(expected[path.to], count)
			}
		}
	}
	return expected
}

// forgetOld forgets what was learned long ago. The caller holds mu.
func (b *Budgets) forgetOld(now time.Time) {
	if now.Sub(b.callsSince) < learnedFor {
		return
	}
	b.calls, b.callsBefore, b.callsSince = make(map[callPath]int), b.calls, now
}

// BeginRun records that a backend server of the host is sent the request. For a retry it reserves the
// retries that its calls will be, the borrowed ones among them; if they are not left it reports false,
// and the request must not be sent. One that was begun must be ended with Finish.
func (b *Budgets) BeginRun(now time.Time, run runs.Run, borrowed []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run.Retry && len(b.missing(now, run.Service)) > len(borrowed) {
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
	if run.Retry {
		b.reserve(now, r, b.expected(run.Service), borrowed)
	}
	return true
}

// reserve reserves the expected calls' retries for the run. The caller holds mu.
func (b *Budgets) reserve(now time.Time, r *running, expected map[string]int, borrowed []string) {
	for _, service := range borrowed {
		r.borrowed[service] = append(r.borrowed[service], now.Add(LentFor(b.sizes[service].Window)))
		expected[service]--
	}
	for service, count := range expected {
		for range count {
			r.reserved[service]++
			b.budget(service).Charge()
		}
	}
}

// FinishRun records that a run has ended, and gives back what was reserved for its calls and not used.
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

// RecordCall records that a run of the host calls the service, and reports whether the call must be ended
// with End. That of a retry draws on what was reserved for it, or on what is left, and is made also if
// nothing is. That of a first run counts as a request.
func (b *Budgets) RecordCall(now time.Time, from runs.Run, service string) (mustEnd bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.running[from.ID]
	if ok {
		b.recordCall(now, callPath{from.Service, service}, r)
	}
	if !from.Retry {
		b.budget(service).Earn(now)
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

// recordCall records that the run makes a call. The caller holds mu.
func (b *Budgets) recordCall(now time.Time, path callPath, r *running) {
	b.forgetOld(now)
	r.made[path.to]++
	b.calls[path] = max(b.calls[path], r.made[path.to])
}

// useBorrowed uses a retry that was borrowed for a call of the service, if there is one that is
// good.
func (r *running) useBorrowed(now time.Time, service string) bool {
	borrowed := r.borrowed[service]
	if len(borrowed) == 0 {
		return false
	}
	r.borrowed[service] = borrowed[1:]
	return now.Before(borrowed[0])
}
