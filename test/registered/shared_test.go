package registered

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestSharedFailuresSuspectFew guards against the suspicion of most backend servers of a service when a
// dependency fails and no daemon alone sends enough requests to see that all of them fail alike.
func TestSharedFailuresSuspectFew(t *testing.T) {
	const (
		hosts     = 16
		failing   = 0.3
		perSecond = 400
		length    = 4 * time.Second
	)
	f := newStore(t)
	f.writeDesired(1, "/twice/")
	for range hosts {
		f.add("lookup").start()
	}
	f.stopConcurrently()
	for _, h := range f.hosts {
		h.startIncarnation("first")
		h.setHandler(randomFailures(failing))
	}
	for _, h := range f.hosts {
		h.waitReady()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	f.callAtRate(ctx, &callers, perSecond/2, func(h *host) { h.get("/once/x") })
	f.callAtRate(ctx, &callers, perSecond/2, func(h *host) { h.get("/twice/x") })
	time.Sleep(length)
	suspected := f.suspected()
	cancel()
	callers.Wait()
	t.Logf("%d of %d backend servers are suspected", suspected, hosts)
	if suspected > hosts/4 {
		t.Errorf("%d of %d backend servers are suspected because of a shared failure, want at most a quarter", suspected, hosts)
	}
}

// randomFailures returns a handler that fails the given share of requests.
func randomFailures(share float64) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond)
		if rand.Float64() < share {
			writeSigned(w, http.StatusInternalServerError, "a call failed")
			return
		}
		writeSigned(w, http.StatusOK, "done")
	}
}

// suspected returns how many backend servers are currently suspected, by the daemons' logs.
func (f *fleet) suspected() int {
	count := 0
	for _, h := range f.hosts {
		count += h.log.count(`"msg":"backend server suspected"`) - h.log.count(`"msg":"backend server trusted again"`)
	}
	return count
}
