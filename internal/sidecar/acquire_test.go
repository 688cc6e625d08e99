package sidecar

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/hop"
)

// newTestServer returns the handle of a backend server whose task runs until the test ends.
func newTestServer(b *testing.B) *server {
	t := newTestTask()
	s := &server{mailbox: make(chan any, mailboxSize), ended: make(chan struct{})}
	s.declared.Store(t.declared)
	t.server = s
	go t.run()
	b.Cleanup(func() { close(s.ended) })
	return s
}

// BenchmarkAcquire acquires and releases a slot of a backend server, each by a message to its task.
func BenchmarkAcquire(b *testing.B) {
	s := newTestServer(b)
	call := hop.Call{Customer: "county-7", Host: "obuda-1", TimeLeft: time.Minute, LatencyTargetLeft: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		slot, err := s.acquire(b.Context(), 1, call)
		if err != nil {
			b.Fatal(err)
		}
		slot.release()
	}
}
