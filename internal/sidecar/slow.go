package sidecar

import (
	"sync"
	"time"
)

// slowWatch reports to a server's task when a running request has outlasted nearly all others of
// its route, and when that one has ended, in that order.
type slowWatch struct {
	server *server
	began  time.Time
	timer  *time.Timer

	mu       sync.Mutex
	reported bool // the task knows that the request is slow
	ended    bool
}

// begin starts the watch over a request that is slow after so long; zero if that is not
// known.
func (w *slowWatch) begin(s *server, after time.Duration) {
	if after <= 0 {
		return
	}
	w.server = s
	w.began = time.Now()
	w.timer = time.AfterFunc(after, w.report)
}

// report tells the task that the request is slow, unless it has ended.
func (w *slowWatch) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.reported = true
	w.server.send(slowMessage{began: w.began})
}

// end ends the watch.
func (w *slowWatch) end() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.reported {
		w.server.send(slowMessage{began: w.began, ended: true})
	}
}
