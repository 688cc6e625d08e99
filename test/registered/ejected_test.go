package registered

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestRecoveredBackendServerServesWhileOthersAreFull guards against a backend server that was ejected as slow and gets
// nothing for 2 s after its recovery, while requests are refused for want of slots.
func TestRecoveredBackendServerServesWhileOthersAreFull(t *testing.T) {
	t.Parallel()
	const usual, slow, bound = 80 * time.Millisecond, 340 * time.Millisecond, 2 * time.Second
	f := newFleet(t, 5)
	got := &arrivals{}
	var takes [2]atomic.Int64 // of the first backend server, and of the others
	set := func(first, others time.Duration) {
		takes[0].Store(int64(first))
		takes[1].Store(int64(others))
	}
	set(usual, usual)
	for i, h := range f.hosts {
		h.setHandler(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(takes[min(i, 1)].Load()))
			if i == 0 {
				got.serve(w, r)
				return
			}
			writeSigned(w, http.StatusOK, "done")
		})
	}
	f.load(4*time.Second, 2) // until the daemons know how long answers usually take
	set(slow, usual)
	f.waitUntil("the slow backend server to be ejected", func() bool {
		f.load(300*time.Millisecond, 2)
		return f.hosts[0].log.contains(`"msg":"backend server ejected"`)
	})
	set(usual, 3*usual)
	since := time.Now()
	refused := f.load(bound, 20)
	if refused < 50 {
		t.Fatalf("%d requests were refused: the others are not full", refused)
	}
	if got.mostSince(since, bound) == 0 {
		t.Errorf("%d requests were refused in %s, and the recovered backend server got none", refused, bound)
	}
}
