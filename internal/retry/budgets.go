// Package retry keeps the retries of a whole service within its limit. Whether a failed attempt
// may be tried again, if the limit leaves a retry for it, is decided in package attempts.
//
// The limit is on what all daemons together do to a service: in any window of time its backend
// servers get at most a share of its requests, and a slack, as retries. A retry is a request that is
// sent to a backend server once more, and each call of a run that was a retry itself. Nobody counts
// the sum. A Budgets is what one daemon answers for: the requests that begin on its host, and what
// the backend servers of its host call. It takes a retry only from what those requests earned, so
// that the sum holds whatever else happens: no daemon needs to know how many there are, one
// that starts again has earned nothing yet, and one that is cut off earns no more than before.
//
// A host's budgets are in budgets.go, one of them in budget.go, what it counts over time in window.go,
// what hosts lend each other in lend.go, and what runs call in calls.go.
//
// # Usage
//
//	budgets := retry.NewBudgets(retry.Config{Began: now})
//	budgets.Resize(now, map[string]retry.Size{"lookup": {Share: 0.2, Slack: 56, Window: 10 * time.Second, Hosts: 21}})
//	budgets.Request(now, "lookup") // for each request that begins here
//	if budgets.Take(now, "lookup") {
//		// send it
//		budgets.End(now, "lookup", reached)
//	}
//	...
//	if budgets.Begin(now, run, nil) { // the backend server of the host is sent a request
//		defer budgets.Finish(now, run)
//	}
//	budgets.Call(now, run, "records") // the run calls another service
//
// # Rules
//
//   - A request earns most of its share of a retry in the window in which it is sent, and a quarter in
//     the next one. Each daemon's retries of any window are paid in this way from its requests of that
//     window and the one before, so all daemons' together are too: at most the share of the better of
//     both.
//   - Three quarters of the slack are shared by the hosts that the platform's store listed. Each uses its
//     part once nobody can have used it within a window, and while the store has its record.
//   - A host that has no retry left may borrow one, which counts at the lender.
//   - A retry runs only where there is room for the calls that it may make, by what runs of its
//     service called in the last minutes. Calls beyond that are made, and paid back.
//
// The bound does not cover calls whose id does not tell of the run that made them, nor a fleet of
// which more than a quarter has not been heard of by the rest. A retry that waits for a slot for more
// than a thirteenth of the window may count in a later one.
package retry

import (
	"sync"
	"time"
)

// Config tells whose budgets it is.
type Config struct {
	// StartedAt is when the daemon began.
	StartedAt time.Time
	// Borrows says that other hosts can be asked for retries.
	Borrows bool
}

// Budgets is the budgets of one host, by service. It answers for the requests that begin on the host,
// and for what its backend servers call. It is safe for concurrent use.
type Budgets struct {
	config Config

	mu      sync.Mutex
	sizes   map[string]Limit
	budgets map[string]*Budget
	running map[string]*running  // by id
	lent    []lent               // the oldest first
	refused map[string]time.Time // when others had none, by service
	// calls is the most that a run called of each service, by the run's service and that; those
	// learned before are in callsBefore, which is forgotten once calls are older than learnedFor.
	calls, callsBefore map[callPath]int
	callsSince         time.Time
	slackUnusedFor     time.Duration // before the daemon began; this host's part of the slack was not used then
}

// NewBudgets returns the budgets of one host. It allows nothing until Resize.
func NewBudgets(config Config) *Budgets {
	return &Budgets{
		config: config, budgets: make(map[string]*Budget), running: make(map[string]*running), refused: make(map[string]time.Time),
		calls: make(map[callPath]int), callsBefore: make(map[callPath]int), callsSince: config.StartedAt,
	}
}

// SetLimits puts the limits of the services in force. One that is no longer declared has no retries; its budget
// is kept until it is empty, so that a service that is declared again has nothing twice.
func (b *Budgets) SetLimits(now time.Time, sizes map[string]Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sizes = sizes
	for service, budget := range b.budgets {
		size, declared := sizes[service]
		switch {
		case declared:
			budget.Resize(now, size)
		case budget.Empty(now):
			delete(b.budgets, service)
		default:
			budget.Suspend()
		}
	}
}

// SetSlackUnused records that no daemon of this host used its part of the slack for that long before this one
// began.
func (b *Budgets) SetSlackUnused(before time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slackUnusedFor = before
	for _, budget := range b.budgets {
		budget.Clear(before)
	}
}

// budget returns the budget of a service. The caller holds mu.
func (b *Budgets) budget(service string) *Budget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = NewBudget(b.config.StartedAt)
		budget.Clear(b.slackUnusedFor)
		budget.Resize(b.config.StartedAt, b.sizes[service])
		b.budgets[service] = budget
	}
	return budget
}

// RecordRequest counts a request to the service that begins on the host.
func (b *Budgets) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Earn(now)
}

// Available reports whether a retry may be taken.
func (b *Budgets) Available(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endLent(now)
	return b.budget(service).Left(now) >= oneRetry
}

// Take takes a retry of a request to the service, and reports whether one was left. It must be ended.
func (b *Budgets) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endLent(now)
	return b.budget(service).Take(now)
}

// End ends a retry that was taken, or a call of a retried run: sent tells whether it was sent.
func (b *Budgets) End(now time.Time, service string, sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).End(now, sent)
}
