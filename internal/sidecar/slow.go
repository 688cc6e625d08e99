package sidecar

import (
	"sync"
	"time"
)

// slowWatch reports to a server's task when a running request has become slow, and afterwards when
// that request has ended, in that order.
type slowWatch struct {
	server *server
	began  time.Time
	timer  *time.Timer

	mu       sync.Mutex
	reported bool // the task has been notified that the request is slow
	ended    bool
}

// begin starts watching a request that counts as slow after the given time; zero disables the
// watch.
func (w *slowWatch) begin(s *server, after time.Duration) {
	if after <= 0 {
		return
	}
	w.server = s
	w.began = time.Now()
	w.timer = time.AfterFunc(after, w.report)
}

// report notifies the task that the request is slow, unless it has ended.
func (w *slowWatch) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.reported = true
	w.server.send(slowMessage{began: w.began})
}

// end stops the watch, and notifies the task if the request was reported as slow.
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
