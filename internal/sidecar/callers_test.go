package sidecar

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestRecentCallersAreThoseOfTheLastSeconds guards against a planned stop that notifies hosts that
// send this one nothing, or against a table of callers that grows with the fleet.
func TestRecentCallersAreThoseOfTheLastSeconds(t *testing.T) {
	c := newCallers()
	now := time.Now()
	for n := range 1000 {
		c.record(fmt.Sprintf("host-%d", n), now)
	}
	now = now.Add(callerTTL)
	c.record("host-1", now)
	c.record("host-0", now)
	if kept := len(c.lastAt); kept != 2 {
		t.Errorf("%d callers are kept, want 2", kept)
	}
	if got := c.recent(now); !slices.Equal(got, []string{"host-0", "host-1"}) {
		t.Errorf("got %v, want the two hosts that sent a request", got)
	}
	if got := c.recent(now.Add(callerTTL)); len(got) > 0 {
		t.Errorf("got %v after the time for which a host counts", got)
	}
}
