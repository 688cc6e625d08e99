package retry

import (
	"sync"
	"time"
)

const (
	// safety is the part of the limit that is used. Source: calls of a run that
	// was itself a repeat count as repeats too, and nobody here sees those.
	safety = 0.8
	// oneRetry is what a retry costs.
	oneRetry = 1
	// cellCount is how many cells a window is counted in. Source: requests are
	// counted over one cell less than retries, which gives away a twentieth.
	cellCount = 20
)

// Size is how much a budget holds.
type Size struct {
	// Share is the retries as a share of the service's requests, from 0 to 1.
	Share float64
	// Slack is how many retries beyond that all daemons may make in a window.
	Slack float64
	// Window is the time over which both are counted, more than zero.
	Window time.Duration
	// Daemons is how many share the slack.
	Daemons int
}

// slack is this daemon's part of it. A part may be less than one retry; the daemon
// can still make one, which the safety covers.
func (s Size) slack() float64 {
	return max(oneRetry, safety*s.Slack/float64(max(1, s.Daemons)))
}

// Budget bounds the retries of one service over a sliding window. A daemon that made
// none for a while has all that its requests of the last window earned. It is safe
// for concurrent use.
type Budget struct {
	mu    sync.Mutex
	size  Size
	start time.Time
	// cells count the last window and the cell before it; the newest is at newest
	// modulo their number.
	cells  [cellCount + 1]cell
	newest int64
}

// cell is what was counted in a part of the window.
type cell struct{ requests, retries int }

// NewBudget returns a budget that allows nothing until Resize.
func NewBudget() *Budget { return &Budget{} }

// Resize takes a new size. What was counted stays, unless the window changes.
func (b *Budget) Resize(size Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.size.Window != size.Window {
		b.cells = [cellCount + 1]cell{}
		b.newest = 0
		b.start = time.Time{}
	}
	b.size = size
}

// Earn counts a request.
func (b *Budget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.current(now); c != nil {
		c.requests++
	}
}

// Left says whether there is a retry to spend.
func (b *Budget) Left(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(now)
}

// Spend takes one retry, or says that none is left.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.left(now) {
		return false
	}
	b.current(now).retries++
	return true
}

// GiveBack returns a retry that was taken a moment ago and not made.
func (b *Budget) GiveBack(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.current(now); c != nil && c.retries > 0 {
		c.retries--
	}
}

// left compares the retries of the last window with what its requests and the slack
// allow.
func (b *Budget) left(now time.Time) bool {
	if b.current(now) == nil {
		return false
	}
	requests, retries := 0, 0
	oldest := (b.newest + 1) % int64(len(b.cells))
	for i, c := range b.cells {
		retries += c.retries
		if int64(i) != oldest {
			requests += c.requests
		}
	}
	allowed := safety*b.size.Share*float64(requests) + b.size.slack()
	return float64(retries)+oneRetry <= allowed
}

// current returns the cell of that moment, after clearing those that are over. It is
// nil for a budget without a size.
func (b *Budget) current(now time.Time) *cell {
	if b.size.Window <= 0 {
		return nil
	}
	if b.start.IsZero() {
		b.start = now
	}
	at := int64(now.Sub(b.start) / (b.size.Window / cellCount))
	if at > b.newest+int64(len(b.cells)) {
		b.newest = at - int64(len(b.cells))
	}
	for b.newest < at {
		b.newest++
		b.cells[b.newest%int64(len(b.cells))] = cell{}
	}
	return &b.cells[b.newest%int64(len(b.cells))]
}
