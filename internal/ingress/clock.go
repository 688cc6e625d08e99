package ingress

import (
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
)

// overdueTimer reports an attempt that is overdue, which is evidence against its target.
type overdueTimer struct {
	attempt *attempt

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool // the answer's header has arrived, or the attempt has failed
}

// startOverdueTimer starts the attempt's timer. It never expires if there are no other targets to
// compare with.
func (a *attempt) startOverdueTimer() *overdueTimer {
	c := &overdueTimer{attempt: a}
	limit := a.request.service.overdueLimit(a.Target)
	if limit == 0 {
		return c
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(limit, c.expire)
	return c
}

// stop stops the timer. The timer does not expire after stop returns.
func (t *overdueTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// expire reports the attempt as overdue.
func (t *overdueTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.attempt.overdue.Store(true)
	t.attempt.report(detect.Observation{Outcome: detect.Overdue}, true)
}
