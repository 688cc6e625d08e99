package registered

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestChangeIsInForceAfterTheStoreReturnsFromACopy guards against an accepted change that no daemon puts in force, a record that
// stays lost and an evacuation that does not end, since the store has lost changes and given their revisions out again.
func TestChangeIsInForceAfterTheStoreReturnsFromACopy(t *testing.T) {
	f := newFleet(t, 3)
	older := f.store.Copy()
	joined := f.add("lookup")
	joined.start()
	joined.startIncarnation("first")
	joined.waitReady()
	f.store.Write("op/evacuate/dc0", []byte("{}"))
	for _, h := range f.hosts {
		f.waitUntil("the evacuation to reach "+h.daemonName(), func() bool {
			status, _ := h.get("/twice/x")
			return status == http.StatusServiceUnavailable
		})
	}
	lost := f.store.Revision()
	time.Sleep(2 * time.Second) // all watches go on from the last revision

	f.store.SetOutage(true)
	f.store.Restore(older)
	f.writeDesired(2, "/changed/")
	for f.store.Revision() < lost {
		f.store.Write("op/other", fmt.Append(nil, f.store.Revision()))
	}
	f.store.SetOutage(false)

	for _, h := range f.hosts {
		f.waitUntil("the change to be in force at "+h.daemonName(), func() bool {
			status, _ := h.get("/changed/x")
			return status == http.StatusOK
		})
	}
	f.waitUntil("the lost record to be written again", func() bool {
		_, ok := f.store.Value("tidelift/hosts/dc0/" + joined.daemonName())
		return ok
	})
}
