package sidecar

import (
	"testing"
	"time"
)

// heard returns the messages that wait for the task.
func heard(s *server) []slowMessage {
	var all []slowMessage
	for len(s.mailbox) > 0 {
		all = append(all, (<-s.mailbox).(slowMessage))
	}
	return all
}

// TestALateRequestIsToldOfAndTakenBack holds the order of both, whatever the clocks do.
func TestALateRequestIsToldOfAndTakenBack(t *testing.T) {
	s := &server{mailbox: make(chan any, 8), ended: make(chan struct{})}
	var late slowWatch
	late.begin(s, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	late.end()
	late.report() // a timer that comes after the end
	if got := heard(s); len(got) != 2 || got[0].ended || !got[1].ended {
		t.Fatalf("the task heard %+v", got)
	}
	var quick slowWatch
	quick.begin(s, time.Hour)
	quick.end()
	quick.report()
	var unknown slowWatch
	unknown.begin(s, 0)
	unknown.end()
	if got := heard(s); len(got) != 0 {
		t.Fatalf("the task heard %+v of requests in time", got)
	}
}
