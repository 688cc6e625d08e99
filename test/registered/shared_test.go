package registered

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestFailuresThatManyShareSuspectFew guards against a service that is held at probes as a whole: a service that
// it calls fails, and no daemon sends any one of the many backend servers enough requests to see that all fail
// alike.
func TestFailuresThatManyShareSuspectFew(t *testing.T) {
	const (
		hosts     = 16
		failing   = 0.3
		perSecond = 400
		length    = 4 * time.Second
	)
	f := newStore(t)
	f.desire(1, "/twice/")
	for range hosts {
		f.add("lookup").start()
	}
	f.stopTogether()
	for _, h := range f.hosts {
		h.begin("first")
		h.does(failsAtRandom(failing))
	}
	for _, h := range f.hosts {
		h.awaitReady()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	f.every(ctx, &callers, perSecond/2, func(h *host) { h.get("/once/x") })
	f.every(ctx, &callers, perSecond/2, func(h *host) { h.get("/twice/x") })
	time.Sleep(length)
	suspected := f.suspected()
	cancel()
	callers.Wait()
	t.Logf("%d of %d backend servers are suspected", suspected, hosts)
	if suspected > hosts/4 {
		t.Errorf("%d of %d backend servers that fail alike are suspected", suspected, hosts)
	}
}

// failsAtRandom returns work of which that share fails.
func failsAtRandom(share float64) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond)
		if rand.Float64() < share {
			signed(w, http.StatusInternalServerError, "a call failed")
			return
		}
		signed(w, http.StatusOK, "done")
	}
}

// suspected returns how many backend servers are suspected.
func (f *fleet) suspected() int {
	count := 0
	for _, h := range f.hosts {
		count += h.log.count(`"msg":"backend server suspected"`) - h.log.count(`"msg":"backend server trusted again"`)
	}
	return count
}
