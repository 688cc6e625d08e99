package retry

import (
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/runs"
)

// learnedFor is the least time for which it is remembered what runs of a service call. Source:
// services change what they call when they are released, and a run that called more than
// others should not count for long.
const learnedFor = time.Minute

// Book is the budgets of one host, by service. It answers for the requests that begin on the host,
// and for what its backend servers call. It is safe for concurrent use.
type Book struct {
	began time.Time

	mu      sync.Mutex
	sizes   map[string]Size
	budgets map[string]*Budget
	running map[string]*running // by id
	// calls is the most that a run called of each service, by the run's service and that; those
	// learned before are in callsBefore, which is forgotten when they turn.
	calls, callsBefore map[callPath]int
	turned             time.Time
}

// callPath says whose runs call whom.
type callPath struct{ from, to string }

// running is a request that a backend server runs, or several of the same id.
type running struct {
	count int
	made  map[string]int // calls, by service
	held  map[string]int // repeats that are kept for calls, by service
}

// NewBook returns the book of a daemon that began then. It allows nothing until Resize.
func NewBook(began time.Time) *Book {
	return &Book{
		began: began, budgets: make(map[string]*Budget), running: make(map[string]*running),
		calls: make(map[callPath]int), callsBefore: make(map[callPath]int), turned: began,
	}
}

// Resize takes the limits of the services. What is no longer declared is forgotten.
func (b *Book) Resize(sizes map[string]Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sizes = sizes
	for service, budget := range b.budgets {
		if size, ok := sizes[service]; ok {
			budget.Resize(size)
			continue
		}
		delete(b.budgets, service)
	}
}

// budget returns the budget of a service. The caller holds mu.
func (b *Book) budget(service string) *Budget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = NewBudget(b.began)
		budget.Resize(b.sizes[service])
		b.budgets[service] = budget
	}
	return budget
}

// Request counts a request to the service that begins on the host.
func (b *Book) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Earn(now)
}

// Left says whether a repeat may be taken.
func (b *Book) Left(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Left(now) >= oneRepeat
}

// Take takes a repeat of a request to the service, or says that none is left. It must be ended.
func (b *Book) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Take(now)
}

// End ends a repeat that was taken, or a call of a repeated run: sent says whether it was sent.
func (b *Book) End(now time.Time, service string, sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).End(now, sent)
}

// MayRun says whether a repeat may run at a backend server of the service on this host: whether
// the repeats that its calls will be are left.
func (b *Book) MayRun(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mayRun(now, service)
}

// mayRun is MayRun. The caller holds mu.
func (b *Book) mayRun(now time.Time, service string) bool {
	b.turn(now)
	for path, count := range b.expected(service) {
		if b.budget(path).Left(now) < count {
			return false
		}
	}
	return true
}

// expected returns how many calls a run of the service may make, by the service called. The caller
// holds mu.
func (b *Book) expected(service string) map[string]int {
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

// turn forgets what was learned long ago. The caller holds mu.
func (b *Book) turn(now time.Time) {
	if now.Sub(b.turned) < learnedFor {
		return
	}
	b.calls, b.callsBefore, b.turned = make(map[callPath]int), b.calls, now
}

// Begin takes it that a backend server of the host is sent the request. For a repeat it keeps the
// repeats that its calls will be, or says that they are not left; then it must not be sent. One that
// was begun must be ended with Finish.
func (b *Book) Begin(now time.Time, run runs.Run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run.Repeat && !b.mayRun(now, run.Service) {
		return false
	}
	if run.ID == "" {
		return true
	}
	r, ok := b.running[run.ID]
	if !ok {
		r = &running{made: make(map[string]int), held: make(map[string]int)}
		b.running[run.ID] = r
	}
	r.count++
	if !run.Repeat {
		return true
	}
	for service, count := range b.expected(run.Service) {
		r.held[service] += count
		for range count {
			b.budget(service).Charge()
		}
	}
	return true
}

// Finish takes it that a run has ended, and gives back what was kept for its calls and not used.
func (b *Book) Finish(now time.Time, run runs.Run) {
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
	for service, count := range r.held {
		for range count {
			b.budget(service).End(now, false)
		}
	}
}

// Call takes it that a run of the host calls the service. The call of a repeat draws on what was
// kept for it, or on what is left, and is made also if nothing is; it must be ended with End. That
// of a first run counts as a request.
func (b *Book) Call(now time.Time, from runs.Run, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.running[from.ID]
	if ok {
		r.made[service]++
		b.turn(now)
		path := callPath{from.Service, service}
		b.calls[path] = max(b.calls[path], r.made[service])
	}
	switch {
	case !from.Repeat:
		b.budget(service).Earn(now)
	case ok && r.held[service] > 0:
		r.held[service]--
	default:
		b.budget(service).Charge()
	}
}
