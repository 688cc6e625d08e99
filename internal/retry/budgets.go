package retry

import (
	"sync"
	"time"
)

// Config says whose budgets it is.
type Config struct {
	// Began is when the daemon began.
	Began time.Time
	// Borrows says that other hosts can be asked for retries.
	Borrows bool
}

// Budgets is the budgets of one host, by service. It answers for the requests that begin on the host,
// and for what its backend servers call. It is safe for concurrent use.
type Budgets struct {
	config Config

	mu      sync.Mutex
	sizes   map[string]Size
	budgets map[string]*Budget
	running map[string]*running  // by id
	lent    []lent               // the oldest first
	refused map[string]time.Time // when others had none, by service
	// calls is the most that a run called of each service, by the run's service and that; those
	// learned before are in callsBefore, which is forgotten when they turn.
	calls, callsBefore map[callPath]int
	turned             time.Time
	clear              time.Duration // before the daemon began nobody used this host's part of the slack
}

// NewBudgets returns the budgets of one host. It allows nothing until Resize.
func NewBudgets(config Config) *Budgets {
	return &Budgets{
		config: config, budgets: make(map[string]*Budget), running: make(map[string]*running), refused: make(map[string]time.Time),
		calls: make(map[callPath]int), callsBefore: make(map[callPath]int), turned: config.Began,
	}
}

// Resize takes the limits of the services. One that is no longer declared has no retries; its budget
// is kept until it is empty, so that a service that is declared again has nothing twice.
func (b *Budgets) Resize(now time.Time, sizes map[string]Size) {
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

// Clear takes it that no daemon of this host used its part of the slack for that long before this one
// began.
func (b *Budgets) Clear(before time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clear = before
	for _, budget := range b.budgets {
		budget.Clear(before)
	}
}

// budget returns the budget of a service. The caller holds mu.
func (b *Budgets) budget(service string) *Budget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = NewBudget(b.config.Began)
		budget.Clear(b.clear)
		budget.Resize(b.config.Began, b.sizes[service])
		b.budgets[service] = budget
	}
	return budget
}

// Request counts a request to the service that begins on the host.
func (b *Budgets) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Earn(now)
}

// Left says whether a retry may be taken.
func (b *Budgets) Left(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endLent(now)
	return b.budget(service).Left(now) >= oneRetry
}

// Take takes a retry of a request to the service, or says that none is left. It must be ended.
func (b *Budgets) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endLent(now)
	return b.budget(service).Take(now)
}

// End ends a retry that was taken, or a call of a retried run: sent says whether it was sent.
func (b *Budgets) End(now time.Time, service string, sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).End(now, sent)
}
