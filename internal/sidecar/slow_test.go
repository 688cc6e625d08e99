package sidecar

import (
	"testing"
	"time"
)

// drainMailbox returns the messages in the task's mailbox.
func drainMailbox(s *server) []slowMessage {
	var all []slowMessage
	for len(s.mailbox) > 0 {
		all = append(all, (<-s.mailbox).(slowMessage))
	}
	return all
}

// TestSlowRequestIsReportedBeforeItsEnd guards against reports out of order, however the timer and
// the end race.
func TestSlowRequestIsReportedBeforeItsEnd(t *testing.T) {
	s := &server{mailbox: make(chan any, 8), ended: make(chan struct{})}
	var slow slowWatch
	slow.begin(s, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	slow.end()
	slow.report() // the timer fires after the end
	if got := drainMailbox(s); len(got) != 2 || got[0].ended || !got[1].ended {
		t.Fatalf("task received %+v, want slow, then ended", got)
	}
	var quick slowWatch
	quick.begin(s, time.Hour)
	quick.end()
	quick.report()
	var unknown slowWatch
	unknown.begin(s, 0)
	unknown.end()
	if got := drainMailbox(s); len(got) != 0 {
		t.Fatalf("task received %+v for requests that were not slow", got)
	}
}
