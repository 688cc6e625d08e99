package registered

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// coldRate is the declared number of requests a second that a cold backend server bears.
const coldRate = 8

// arrivals records when requests reached a backend server.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) serve(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	a.at = append(a.at, time.Now())
	a.mu.Unlock()
	writeSigned(w, http.StatusOK, "done")
}

// most returns the largest number of requests in any second.
func (a *arrivals) most() int { return a.mostSince(time.Time{}, time.Second) }

// mostSince returns the largest number of requests in any window of that length that begins then or later.
func (a *arrivals) mostSince(since time.Time, window time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most, first := 0, 0
	for last, at := range a.at {
		for first <= last && (a.at[first].Before(since) || at.Sub(a.at[first]) >= window) {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func (a *arrivals) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.at)
}

// TestColdBackendServersGetFewRequests guards against more requests than backend servers bear while they are
// cold, and against failures while the warm ones have room.
func TestColdBackendServersGetFewRequests(t *testing.T) {
	f := newStore(t)
	f.dataCentres = 2
	f.declared = `,"cold-start-s":30,"cold-per-s":8`
	f.writeDesired(1, "/twice/")
	got := make([]arrivals, 4)
	for i := range got {
		f.add("lookup").start()
		f.hosts[i].setHandler(got[i].serve)
	}
	for _, h := range f.hosts {
		h.waitReady()
		if h.number%f.dataCentres == 1 {
			h.cold = 20
		}
		h.startIncarnation("first")
	}
	for _, h := range f.hosts {
		f.waitUntil(h.daemonName()+" to know every backend server", func() bool { return h.known() == len(f.hosts) })
	}
	failed := f.load(3*time.Second, 6)
	if failed > 0 {
		t.Errorf("%d requests failed although warm backend servers had room", failed)
	}
	for i := range got {
		// Beside the rate itself, a quarter of a second's worth may be sent together.
		if most := got[i].most(); f.hosts[i].cold > 0 && most > coldRate+coldRate/4+1 {
			t.Errorf("cold backend server of %s got %d requests in a second, want at most %d and a quarter more", f.hosts[i].daemonName(), most, coldRate)
		}
		if got[i].count() == 0 {
			t.Errorf("backend server of %s got no request", f.hosts[i].daemonName())
		}
	}
	warmed := f.hosts[1]
	warmed.cold = 0
	warmed.checkIn("ready")
	f.waitUntil("a backend server that is warm to get its full share", func() bool {
		f.load(time.Second, 6)
		return got[1].most() > 3*coldRate
	})
}

// load sends requests to every daemon by that many callers each, and returns how many failed.
func (f *fleet) load(duration time.Duration, callers int) int {
	var all sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	until := time.Now().Add(duration)
	for _, h := range f.hosts {
		for range callers {
			all.Go(func() {
				for time.Now().Before(until) {
					status, body := h.get("/once/x")
					if status != http.StatusOK {
						mu.Lock()
						failed++
						mu.Unlock()
						f.t.Logf("%s answered %d: %s", h.daemonName(), status, body)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	all.Wait()
	return failed
}
