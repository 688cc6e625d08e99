package registered

import (
	"testing"
	"time"
)

// TestStartCallsTheStoreAFewTimes guards against daemons that call the store more often, the more of them
// start simultaneously.
func TestStartCallsTheStoreAFewTimes(t *testing.T) {
	const (
		daemons = 40
		// A lease, the record, one or two lists of hosts; the rest are the calls of the daemons that
		// watch the store, and of those that start before these.
		most = 5 * daemons
	)
	f := newStore(t)
	f.writeDesired(1, "/twice/")
	for range daemons {
		f.add("lookup").start()
	}
	f.stopConcurrently()
	for _, h := range f.hosts {
		h.startIncarnation("first")
	}
	for _, h := range f.hosts {
		h.waitReady()
	}
	time.Sleep(8 * time.Second) // beyond the second list of hosts
	if calls := f.store.Calls(); calls > most {
		t.Errorf("the start of %d daemons made %d calls, want at most %d: %v", daemons, calls, most, f.store.CallsByName())
	}
}
