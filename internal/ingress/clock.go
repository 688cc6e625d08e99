package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
)

// looks is how often in the time of the limit an overdue attempt is looked at
// again.
const looks = 4

// overdueClock watches one attempt for being overdue. That is evidence, and if
// more of it has gathered against the backend server, a request that may be
// repeated moves to another once that keeps a slot for it. A request that is long by
// itself meets a backend server that does well otherwise, and so stays where it is.
type overdueClock struct {
	attempt *attempt
	ctx     context.Context // of the attempt
	limit   time.Duration
	giveUp  context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool // the head of the answer is here, or the attempt has failed
}

// startClock starts the attempt's clock. Without others to compare with it
// never strikes.
func (a *attempt) startClock(ctx context.Context, giveUp context.CancelCauseFunc) *overdueClock {
	c := &overdueClock{attempt: a, ctx: ctx, limit: a.request.service.overdueLimit(a.target), giveUp: giveUp}
	if c.limit == 0 {
		return c
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(c.limit, c.strike)
	return c
}

// stop ends the watch. After it the attempt is not given up any more.
func (c *overdueClock) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.timer != nil {
		c.timer.Stop()
	}
}

// strike is what the timer calls. The attempt's answer may come while another backend
// server is asked, and then stands.
func (c *overdueClock) strike() {
	if !c.noteOverdue() {
		return
	}
	a := c.attempt
	next, ok := a.reserve(c.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.stopped && ok:
		a.giveBackRetry() // the slot is free again when its ticket expires
	case c.stopped:
	case ok:
		a.reserved = &next
		c.giveUp(errOverdue)
	default:
		c.timer.Reset(c.limit / looks)
	}
}

// noteOverdue takes it as evidence that the attempt is overdue, and says whether it may
// be given up.
func (c *overdueClock) noteOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	a := c.attempt
	if !a.overdue.Swap(true) {
		a.tell(detect.Observation{Outcome: detect.Overdue}, true)
	}
	return a.mayMoveOn()
}
