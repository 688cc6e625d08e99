// Package retry keeps the retries of a whole service within its limit. Package attempts decides
// whether a failed attempt may be retried at all.
//
// The limit covers the retries of all daemons together: in any window of time, a service's backend
// servers get at most a share of its requests, plus a slack, as retries. A retry is a request that is
// sent to a backend server again, and each call of a run that was itself a retry. The sum is not
// counted anywhere. A Budgets accounts for the share of one daemon: the requests that begin on its
// host, and the calls of the host's backend servers. It takes retries only from what those requests
// earned, so the limit holds for the sum without coordination: no daemon needs to know how many
// there are, a restarted daemon has earned nothing yet, and a partitioned one earns no more than
// before.
//
// The budgets of a host are in budgets.go, a single one in budget.go, its counts over time in
// window.go, the loans between hosts in lend.go, the calls of runs in calls.go, and what the runs of
// a route call in routes.go.
//
// # Usage
//
//	budgets := retry.NewBudgets(retry.Config{Host: "host-1", StartedAt: now})
//	budgets.SetLimits(now, map[string]retry.Limit{"lookup": {Share: 0.2, Slack: 56, Window: 10 * time.Second, Hosts: 21}})
//	budgets.RecordRequest(now, "lookup") // for each request that begins here
//	if budgets.Take(now, "lookup") {
//		// send it
//		budgets.End(now, "lookup", reached)
//	}
//	...
//	if budgets.BeginRun(now, run, nil) { // the backend server of the host is sent a request
//		defer budgets.FinishRun(now, run)
//	}
//	budgets.RecordCall(now, run, "records") // the run calls another service
//	budgets.RecordAnswered(now, run)        // before FinishRun, if the backend server has answered it
//
// # Rules
//
//   - A request earns three quarters of its share of a retry in the window in which it is sent, and a
//     quarter in the next one. Each daemon's retries of a window are paid from its requests of that
//     window and the one before, so the retries of all daemons together are at most the share of the
//     better of both windows.
//   - Three quarters of the slack are divided among the hosts that the platform's store listed. Each
//     host uses its share once no previous daemon of that host can have used it within a window, and
//     while the store has its record.
//   - A host's share is rounded up or down by a hash of its name, so that the sum of the rounded shares
//     stays about the same however many hosts there are.
//   - A host that has no retry left may borrow one, which counts at the lender.
//   - A retry runs only if there is room for the calls that it may make, judged by the calls of the
//     service's runs in the last minutes. Calls beyond that are made, and charged to the budget.
//   - A retry of a long request is judged by the calls of its own route's runs, once enough of them
//     were answered on this host in the last minutes.
//
// The limit does not cover calls whose id does not identify the run that made them, or a fleet in
// which more than a quarter of the hosts is unknown to the rest. A retry that waits for a slot for
// more than a thirteenth of the window may count in a later one.
package retry

import (
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/hash"
)

// Config configures the budgets of a host.
type Config struct {
	// Host is the name of the host.
	Host string
	// StartedAt is the time at which the daemon started.
	StartedAt time.Time
	// Borrows is set if retries can be borrowed from other hosts.
	Borrows bool
}

// Budgets holds the budgets of one host, by service. It accounts for the requests that begin on the
// host and for the calls of its backend servers. It is safe for concurrent use.
type Budgets struct {
	config Config

	mu        sync.Mutex
	limits    map[string]Limit
	budgets   map[string]*Budget
	running   map[string]*running  // by request id
	lent      []lent               // the oldest first
	refusedAt map[string]time.Time // when no other host had a retry to lend, by service
	// calls is the largest number of calls that one run made, by the service of the run and the
	// service called. previousCalls holds the values learned before; it is dropped once calls is
	// older than callRetention.
	calls, previousCalls map[callPath]int
	callsSince           time.Time
	routes               *routeMemory
	slackUnusedFor       time.Duration // how long before the daemon started this host used no slack
}

// NewBudgets returns the budgets of one host. They allow no retries until SetLimits is called.
func NewBudgets(config Config) *Budgets {
	return &Budgets{
		config: config, budgets: make(map[string]*Budget), running: make(map[string]*running), refusedAt: make(map[string]time.Time),
		calls: make(map[callPath]int), previousCalls: make(map[callPath]int), callsSince: config.StartedAt,
		routes: newRouteMemory(config.StartedAt),
	}
}

// SetLimits sets the limits of the services. A service that is no longer declared has no retries;
// its budget is kept until it is empty, so that a service that is declared again does not get its
// retries twice.
func (b *Budgets) SetLimits(now time.Time, limits map[string]Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
	for service, budget := range b.budgets {
		limit, declared := limits[service]
		switch {
		case declared:
			budget.SetLimit(now, limit)
		case budget.Empty(now):
			delete(b.budgets, service)
		default:
			budget.Suspend()
		}
	}
}

// SetSlackUnused records that no daemon of this host used its share of the slack for that long
// before this one started.
func (b *Budgets) SetSlackUnused(before time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slackUnusedFor = before
	for _, budget := range b.budgets {
		budget.SetSlackUnusedFor(before)
	}
}

func (b *Budgets) budget(service string) *Budget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = NewBudget(b.config.StartedAt)
		budget.SetSlackUnusedFor(b.slackUnusedFor)
		budget.SetRounding(hash.Fraction(b.config.Host, service))
		budget.SetLimit(b.config.StartedAt, b.limits[service])
		b.budgets[service] = budget
	}
	return budget
}

// RecordRequest counts a request to the service that begins on the host.
func (b *Budgets) RecordRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).CountRequest(now)
}

// Available reports whether a retry may be taken.
func (b *Budgets) Available(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endExpiredLoans(now)
	return b.budget(service).Remaining(now) >= oneRetry
}

// Take takes a retry of a request to the service, and reports whether one was left. The caller must
// call End for it.
func (b *Budgets) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endExpiredLoans(now)
	return b.budget(service).Take(now)
}

// End ends a retry that was taken, or a call of a retried run. sent reports whether it was sent.
func (b *Budgets) End(now time.Time, service string, sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).End(now, sent)
}
