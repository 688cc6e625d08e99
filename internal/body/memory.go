package body

import (
	"sync"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
)

// maxShareDivisor divides the limit to get what one holder may have, so that one caller's uploads leave room for
// those of others.
const maxShareDivisor = 2

// ErrNoRoom is returned when the daemon has no memory left for a body.
var ErrNoRoom = errors.New("no memory is left for the request body")

// HolderKind is the kind of a Holder.
type HolderKind string

// The kinds of holders.
const (
	// HolderCustomer is a customer, for the requests that an ingress receives; the one without a name
	// represents all requests without a customer.
	HolderCustomer HolderKind = "customer"
	// HolderHost is a host, for the requests that its ingress sends to a sidecar.
	HolderHost HolderKind = "host"
)

// Holder is whom the memory of a body is accounted to.
type Holder struct {
	// Kind is the kind of the holder.
	Kind HolderKind
	// Name is the holder's name, which is unique within its kind.
	Name string
}

// MemoryConfig configures a Memory.
type MemoryConfig struct {
	// Limit bounds the sum of the buffered bodies, in bytes.
	Limit int64
	// Scope receives the metrics.
	Scope tally.Scope
}

// Memory bounds the sum of the bodies that a daemon holds, and the part of it that one holder may have. It is safe for
// concurrent use. A nil Memory has no bound.
type Memory struct {
	limit    int64
	maxShare int64
	gauge    tally.Gauge

	mu       sync.Mutex
	used     int64
	byHolder map[Holder]int64 // without holders that have nothing
}

// NewMemory returns a Memory of which nothing is used.
func NewMemory(config MemoryConfig) *Memory {
	return &Memory{
		limit:    config.Limit,
		maxShare: config.Limit / maxShareDivisor,
		gauge:    config.Scope.Gauge("body_memory_used"),
		byHolder: make(map[Holder]int64),
	}
}

// Used returns the size of the buffered bodies, in bytes.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// take takes n bytes for the holder, or returns an error that wraps ErrNoRoom.
func (m *Memory) take(holder Holder, n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.byHolder[holder]
	if held+n > m.maxShare {
		return errors.Wrapf(ErrNoRoom, "%d bytes for %s %q, which has %d of at most %d", n, holder.Kind, holder.Name, held, m.maxShare)
	}
	if m.used+n > m.limit {
		return errors.Wrapf(ErrNoRoom, "%d bytes, with %d of %d used", n, m.used, m.limit)
	}
	m.byHolder[holder] = held + n
	m.setUsed(m.used + n)
	return nil
}

// give returns n bytes that were taken for the holder.
func (m *Memory) give(holder Holder, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.byHolder[holder] -= n
	if m.byHolder[holder] <= 0 {
		delete(m.byHolder, holder)
	}
	m.setUsed(m.used - n)
}

// setUsed sets what is used. The caller holds mu, so that the gauge shows the last value.
func (m *Memory) setUsed(used int64) {
	m.used = used
	m.gauge.Update(float64(used))
}

// account is what one body has taken from a Memory. The zero value takes from none.
type account struct {
	memory *Memory
	holder Holder

	mu     sync.Mutex
	taken  int64
	closed bool
}

// takeUpTo takes what is missing until the account has total bytes. It fails after close: an attempt whose request has
// ended may still look for the body.
func (a *account) takeUpTo(total int64) error {
	if a.memory == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return errors.Wrap(ErrNoRoom, "the request has ended")
	}
	missing := total - a.taken
	if missing <= 0 {
		return nil
	}
	if err := a.memory.take(a.holder, missing); err != nil {
		return err
	}
	a.taken = total
	return nil
}

// giveBack returns what was taken.
func (a *account) giveBack() {
	if a.memory == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.taken > 0 {
		a.memory.give(a.holder, a.taken)
		a.taken = 0
	}
}

// close returns what was taken and refuses to take more.
func (a *account) close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.giveBack()
}
