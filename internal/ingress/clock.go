package ingress

import (
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
)

// overdueClock watches one attempt for being overdue, which is evidence against its
// target.
type overdueClock struct {
	attempt *attempt

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool // the head of the answer is here, or the attempt has failed
}

// startClock starts the attempt's clock. Without others to compare with it
// never expires.
func (a *attempt) startClock() *overdueClock {
	c := &overdueClock{attempt: a}
	limit := a.request.service.overdueLimit(a.Target)
	if limit == 0 {
		return c
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(limit, c.expire)
	return c
}

// stop ends the watch. After it the clock does not expire any more.
func (c *overdueClock) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.timer != nil {
		c.timer.Stop()
	}
}

// expire reports that the attempt is overdue, which is evidence.
func (c *overdueClock) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	c.attempt.overdue.Store(true)
	c.attempt.report(detect.Observation{Outcome: detect.Overdue}, true)
}
