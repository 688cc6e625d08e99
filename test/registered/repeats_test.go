package registered

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/platform"
)

// The tests of this file guard against retries of a whole fleet that exceed a service's limit although each daemon
// keeps to its share: subrequests of retried runs count as retries, and restarts must not add budget.

const (
	repeatsShare  = 0.2
	repeatsSlack  = 10.0
	repeatsWindow = 2 * time.Second
	// callsPart is the share of the runs of search that send a subrequest to names.
	callsPart = 0.9
	// brokenPart is the share of requests whose connection the backend server breaks.
	brokenPart = 0.5
)

const twoServicesText = `{"version":1,
"routes":[
 {"name":"search","host":"a.example","path-prefix":"/search/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"search","attempts":2},
 {"name":"names","host":"a.example","path-prefix":"/names/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":0,"service":"names","attempts":2}],
"services":[{"name":"search"},{"name":"names"}],"limits":{"max-body-bytes":100000}}`

// repeatsSeen records requests and their arrivals at backend servers.
type repeatsSeen struct {
	mu       sync.Mutex
	requests map[string][]time.Time // by service, without subrequests of retried runs
	retries  map[string][]time.Time // by service: arrivals beyond the first, and every arrival of a retried run's subrequest
	arrivals map[string]int         // by request id
	ofRetry  map[string]bool        // ids of subrequests of retried runs
}

func newRepeatsSeen() *repeatsSeen {
	return &repeatsSeen{
		requests: make(map[string][]time.Time), retries: make(map[string][]time.Time),
		arrivals: make(map[string]int), ofRetry: make(map[string]bool),
	}
}

// sent records a request or subrequest to the service.
func (s *repeatsSeen) sent(service, id string, ofRetry bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ofRetry {
		s.ofRetry[id] = true
		return
	}
	s.requests[service] = append(s.requests[service], time.Now())
}

// arrived records an arrival and reports whether its run is a retry.
func (s *repeatsSeen) arrived(service, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[id]++
	repeat := s.arrivals[id] > 1 || s.ofRetry[id]
	if repeat {
		s.retries[service] = append(s.retries[service], time.Now())
	}
	return repeat
}

// check fails the test if the service has more retries in any window than its limit allows.
func (s *repeatsSeen) check(t *testing.T, service string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, at := range s.retries[service] {
		retries := inWindow(s.retries[service], at)
		most = max(most, retries)
		requests := max(inWindow(s.requests[service], at), inWindow(s.requests[service], at.Add(-repeatsWindow/2)), inWindow(s.requests[service], at.Add(-repeatsWindow)))
		if allowed := repeatsShare*float64(requests) + repeatsSlack; float64(retries) > allowed {
			t.Fatalf("%s: %d retries in %v for %d requests, want at most %.0f", service, retries, repeatsWindow, requests, allowed)
		}
	}
	if most == 0 {
		t.Fatalf("%s: no retries were sent, so the limit was not exercised", service)
	}
	t.Logf("%s: at most %d retries in %v", service, most, repeatsWindow)
}

// inWindow counts the times in the window that starts at begin.
func inWindow(times []time.Time, begin time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(begin) && at.Before(begin.Add(repeatsWindow)) {
			n++
		}
	}
	return n
}

// newTwoServices starts a fleet of two services. Runs of search send subrequests to names.
func newTwoServices(t *testing.T, searching, naming int, seen *repeatsSeen) *fleet {
	t.Helper()
	f := newStore(t)
	f.source = fmt.Sprintf(", retry-share: %g, retry-slack: %g, retry-window: %s", repeatsShare, repeatsSlack, repeatsWindow)
	f.store.Write(platform.DesiredKey, []byte(twoServicesText))
	for n := range searching + naming {
		service := "search"
		if n >= searching {
			service = "names"
		}
		h := f.add(service)
		h.does(h.breaking(seen))
		h.start()
	}
	f.stopTogether()
	for _, h := range f.hosts {
		h.begin("first")
		h.awaitReady()
	}
	for _, h := range f.hosts {
		for _, path := range []string{"/search/x", "/names/x"} {
			f.await(path+" from "+h.daemonName(), func() bool {
				status, _ := h.get(path)
				return status == http.StatusOK
			})
		}
	}
	return f
}

// breaking returns the handler of a backend server that breaks the connections of some of the test's requests,
// half of them before it sends a subrequest.
func (h *host) breaking(seen *repeatsSeen) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if !strings.HasPrefix(id, "q") {
			signed(w, http.StatusOK, "done")
			return
		}
		repeat := seen.arrived(h.service, id)
		if rand.Float64() < brokenPart/2 {
			panic(http.ErrAbortHandler)
		}
		if h.service == "search" && rand.Float64() < callsPart {
			call := fmt.Sprintf("%s.%d", id, nextID.Add(1))
			seen.sent("names", call, repeat)
			h.ask(r.Context(), "/names/x", call)
		}
		time.Sleep(10 * time.Millisecond)
		if rand.Float64() < brokenPart/2 {
			panic(http.ErrAbortHandler)
		}
		signed(w, http.StatusOK, "done")
	}
}

// ask sends a request with that id to the host's daemon and reports whether it succeeds.
func (h *host) ask(ctx context.Context, path, id string) bool {
	response, err := http.DefaultClient.Do(h.newRequest(ctx, http.MethodGet, path, id, ""))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// callers sends each service perSecond requests a second, from random hosts, until ctx ends.
func (f *fleet) callers(ctx context.Context, seen *repeatsSeen, perSecond map[string]int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for service, rate := range perSecond {
		wg.Go(func() {
			for ctx.Err() == nil {
				h := f.hosts[rand.IntN(len(f.hosts))]
				id := fmt.Sprintf("q%d", nextID.Add(1))
				seen.sent(service, id, false)
				wg.Go(func() { h.ask(context.Background(), "/"+service+"/x", id) })
				time.Sleep(time.Second / time.Duration(rate))
			}
		})
	}
	return &wg
}

// TestRepeatsOfAFleetStayWithinTheLimit guards against retries beyond the limit in a fleet that breaks connections,
// with subrequests of retried runs and with frequent restarts of backend servers and daemons.
func TestRepeatsOfAFleetStayWithinTheLimit(t *testing.T) {
	tests := map[string]func(*host){
		"subrequests of retried runs": func(*host) {},
		"backend servers that restart": func(h *host) {
			h.begin(fmt.Sprintf("again%d", nextID.Add(1)))
		},
		"daemons that restart": func(h *host) {
			h.end()
			h.start()
			h.awaitReady()
			h.begin(fmt.Sprintf("after%d", nextID.Add(1)))
		},
	}
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		t.Run(name, func(t *testing.T) {
			const searching, naming, played = 6, 3, 6 * time.Second
			seen := newRepeatsSeen()
			f := newTwoServices(t, searching, naming, seen)
			ctx, cancel := context.WithTimeout(t.Context(), played)
			defer cancel()
			asking := f.callers(ctx, seen, map[string]int{"search": 250, "names": 20})
			for number := 0; ctx.Err() == nil; number++ {
				time.Sleep(150 * time.Millisecond)
				tests[name](f.hosts[number%len(f.hosts)])
			}
			asking.Wait()
			seen.check(t, "search")
			seen.check(t, "names")
		})
	}
}

// TestARepeatIsBorrowed guards against a failed request that is not retried because its host has no budget, although
// another host has a surplus.
func TestARepeatIsBorrowed(t *testing.T) {
	f := newStore(t)
	f.source = fmt.Sprintf(", retry-share: %g, retry-slack: 0.01, retry-window: 10s", repeatsShare)
	f.store.Write(platform.DesiredKey, []byte(twoServicesText))
	var broken atomic.Int64
	for range 3 {
		h := f.add("names")
		h.does(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Request-Id") == "breaks" && broken.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			signed(w, http.StatusOK, "done")
		})
		h.start()
	}
	for _, h := range f.hosts {
		h.begin("first")
		h.awaitReady()
	}
	lender, borrower := f.hosts[0], f.hosts[1]
	f.await("requests from the lender to each backend server", func() bool {
		lender.get("/names/x")
		return lender.served.Load() > 0 && borrower.served.Load() > 0 && f.hosts[2].served.Load() > 0
	})
	f.await("the borrower to reach the others", func() bool { // the few requests add less than one retry to its budget
		time.Sleep(500 * time.Millisecond)
		before := lender.served.Load() + f.hosts[2].served.Load()
		borrower.get("/names/x")
		return lender.served.Load()+f.hosts[2].served.Load() > before
	})
	for range 200 {
		lender.get("/names/x")
	}
	if !borrower.ask(context.Background(), "/names/x", "breaks") {
		t.Fatalf("request failed although another host has surplus retries; log of its daemon:\n%s", borrower.log.b.String())
	}
	if broken.Load() != 2 {
		t.Fatalf("got %d arrivals, want the broken one and a retry", broken.Load())
	}
}
