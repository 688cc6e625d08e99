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

// refusedFor is how long no other host is asked for a repeat of a service after none had one to
// spare. Source: where many requests fail at once, asking for each would cost as much as the
// repeats.
const refusedFor = 250 * time.Millisecond

// Config says whose book it is.
type Config struct {
	// Began is when the daemon began.
	Began time.Time
	// Borrows says that other hosts can be asked for repeats.
	Borrows bool
}

// Book is the budgets of one host, by service. It answers for the requests that begin on the host,
// and for what its backend servers call. It is safe for concurrent use.
type Book struct {
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
	clear              time.Duration // before the daemon began nobody used this host's parts of the slack
}

// callPath says whose runs call whom.
type callPath struct{ from, to string }

// lent is a repeat that another host makes, until then at the latest.
type lent struct {
	service string
	until   time.Time
}

// running is a request that a backend server runs, or several of the same id.
type running struct {
	count int
	made  map[string]int // calls, by service
	held  map[string]int // repeats that are kept for calls, by service
	// borrowed are repeats that others lent for calls, by service, each until when it is good.
	borrowed map[string][]time.Time
}

// NewBook returns a daemon's book. It allows nothing until Resize.
func NewBook(config Config) *Book {
	return &Book{
		config: config, budgets: make(map[string]*Budget), running: make(map[string]*running), refused: make(map[string]time.Time),
		calls: make(map[callPath]int), callsBefore: make(map[callPath]int), turned: config.Began,
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

// Clear takes it that no daemon of this host used its parts of the slack for that long before this one
// began.
func (b *Book) Clear(before time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clear = before
	for _, budget := range b.budgets {
		budget.Clear(before)
	}
}

// budget returns the budget of a service. The caller holds mu.
func (b *Book) budget(service string) *Budget {
	budget, ok := b.budgets[service]
	if !ok {
		budget = NewBudget(b.config.Began)
		budget.Clear(b.clear)
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
	b.endLent(now)
	return b.budget(service).Left(now) >= oneRepeat
}

// Take takes a repeat of a request to the service, or says that none is left. It must be ended.
func (b *Book) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endLent(now)
	return b.budget(service).Take(now)
}

// End ends a repeat that was taken, or a call of a repeated run: sent says whether it was sent.
func (b *Book) End(now time.Time, service string, sent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).End(now, sent)
}

// Lend takes a repeat for another host, or says that there is none to spare. The other may make it
// within LentFor; it counts here as if it were made at the end of that time.
func (b *Book) Lend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endLent(now)
	if !b.budget(service).Take(now) {
		return false
	}
	b.lent = append(b.lent, lent{service, now.Add(LentFor(b.sizes[service].Window))})
	return true
}

// endLent ends the repeats that were lent and must have been made. The caller holds mu.
func (b *Book) endLent(now time.Time) {
	for len(b.lent) > 0 && now.After(b.lent[0].until) {
		b.budget(b.lent[0].service).End(now, true)
		b.lent = b.lent[1:]
	}
}

// Refused takes it that no other host had a repeat of the service to spare.
func (b *Book) Refused(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[service] = now
}

// MayBorrow says whether it is worth while to ask another host for a repeat of the service.
func (b *Book) MayBorrow(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mayBorrow(now, service)
}

// mayBorrow is MayBorrow. The caller holds mu.
func (b *Book) mayBorrow(now time.Time, service string) bool {
	return b.config.Borrows && now.Sub(b.refused[service]) >= refusedFor
}

// MayRun says whether a repeat may run at a backend server of the service on this host: whether
// the repeats that its calls will be are left or may be borrowed.
func (b *Book) MayRun(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, called := range b.missing(now, service) {
		if !b.mayBorrow(now, called) {
			return false
		}
	}
	return true
}

// Missing returns the services of which a repeat has to be borrowed before one of that service runs
// here, each as often as that.
func (b *Book) Missing(now time.Time, service string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.missing(now, service)
}

// missing is Missing. The caller holds mu.
func (b *Book) missing(now time.Time, service string) []string {
	b.turn(now)
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
// repeats that its calls will be, the borrowed ones among them, or says that they are not left; then it
// must not be sent. One that was begun must be ended with Finish.
func (b *Book) Begin(now time.Time, run runs.Run, borrowed []string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if run.Repeat && len(b.missing(now, run.Service)) > len(borrowed) {
		return false
	}
	if run.ID == "" {
		return true
	}
	r, ok := b.running[run.ID]
	if !ok {
		r = &running{made: make(map[string]int), held: make(map[string]int), borrowed: make(map[string][]time.Time)}
		b.running[run.ID] = r
	}
	r.count++
	if run.Repeat {
		b.keep(now, r, b.expected(run.Service), borrowed)
	}
	return true
}

// keep keeps the expected calls' repeats for the run. The caller holds mu.
func (b *Book) keep(now time.Time, r *running, expected map[string]int, borrowed []string) {
	for _, service := range borrowed {
		r.borrowed[service] = append(r.borrowed[service], now.Add(LentFor(b.sizes[service].Window)))
		expected[service]--
	}
	for service, count := range expected {
		for range count {
			r.held[service]++
			b.budget(service).Charge()
		}
	}
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

// Call takes it that a run of the host calls the service, and says whether the call must be ended
// with End. That of a repeat draws on what was kept for it, or on what is left, and is made also if
// nothing is. That of a first run counts as a request.
func (b *Book) Call(now time.Time, from runs.Run, service string) (charged bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.running[from.ID]
	if ok {
		b.learn(now, callPath{from.Service, service}, r)
	}
	if !from.Repeat {
		b.budget(service).Earn(now)
		return false
	}
	if ok && r.useBorrowed(now, service) {
		return false
	}
	if ok && r.held[service] > 0 {
		r.held[service]--
		return true
	}
	b.budget(service).Charge()
	return true
}

// learn takes it that the run makes a call. The caller holds mu.
func (b *Book) learn(now time.Time, path callPath, r *running) {
	b.turn(now)
	r.made[path.to]++
	b.calls[path] = max(b.calls[path], r.made[path.to])
}

// useBorrowed uses a repeat that was borrowed for a call of the service, if there is one that is
// good.
func (r *running) useBorrowed(now time.Time, service string) bool {
	borrowed := r.borrowed[service]
	if len(borrowed) == 0 {
		return false
	}
	r.borrowed[service] = borrowed[1:]
	return now.Before(borrowed[0])
}
