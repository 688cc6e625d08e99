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
	retryShare  = 0.2
	retrySlack  = 10.0
	retryWindow = 2 * time.Second
	// subrequestShare is the share of the runs of search that send a subrequest to names.
	subrequestShare = 0.9
	// brokenShare is the share of requests whose connection the backend server breaks.
	brokenShare = 0.5
)

const twoServicesText = `{"version":1,
"routes":[
 {"name":"quiet","host":"a.example","path-prefix":"/quiet/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"search","attempts":2},
 {"name":"search","host":"a.example","path-prefix":"/search/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":1,"service":"search","attempts":2},
 {"name":"names","host":"a.example","path-prefix":"/names/","route-type":"idempotent","timeout-s":2,"target-latency-s":0.8,"priority":0,"service":"names","attempts":2}],
"services":[{"name":"search"},{"name":"names"}],"limits":{"max-body-bytes":100000}}`

// retryRecorder records requests and their arrivals at backend servers.
type retryRecorder struct {
	mu       sync.Mutex
	requests map[string][]time.Time // by service, without subrequests of retried runs
	retries  map[string][]time.Time // by service: arrivals beyond the first, and every arrival of a retried run's subrequest
	arrivals map[string]int         // by request id
	ofRetry  map[string]bool        // ids of subrequests of retried runs
	// retriesByPath counts the retries by path.
	retriesByPath map[string]int
}

func newRetryRecorder() *retryRecorder {
	return &retryRecorder{
		requests: make(map[string][]time.Time), retries: make(map[string][]time.Time),
		arrivals: make(map[string]int), ofRetry: make(map[string]bool), retriesByPath: make(map[string]int),
	}
}

// recordSent records a request or subrequest to the service.
func (s *retryRecorder) recordSent(service, id string, ofRetry bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ofRetry {
		s.ofRetry[id] = true
		return
	}
	s.requests[service] = append(s.requests[service], time.Now())
}

// recordArrival records an arrival and reports whether its run is a retry.
func (s *retryRecorder) recordArrival(service, path, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[id]++
	repeat := s.arrivals[id] > 1 || s.ofRetry[id]
	if repeat {
		s.retries[service] = append(s.retries[service], time.Now())
		s.retriesByPath[path]++
	}
	return repeat
}

// check fails the test if the service has more retries in any window than its limit allows.
func (s *retryRecorder) check(t *testing.T, service string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, at := range s.retries[service] {
		retries := inWindow(s.retries[service], at)
		most = max(most, retries)
		requests := max(inWindow(s.requests[service], at), inWindow(s.requests[service], at.Add(-retryWindow/2)), inWindow(s.requests[service], at.Add(-retryWindow)))
		if allowed := retryShare*float64(requests) + retrySlack; float64(retries) > allowed {
			t.Fatalf("%s: %d retries in %v for %d requests, want at most %.0f", service, retries, retryWindow, requests, allowed)
		}
	}
	if most == 0 {
		t.Fatalf("%s: no retries were sent, so the limit was not exercised", service)
	}
	t.Logf("%s: at most %d retries in %v", service, most, retryWindow)
}

// inWindow counts the times in the window that starts at begin.
func inWindow(times []time.Time, begin time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(begin) && at.Before(begin.Add(retryWindow)) {
			n++
		}
	}
	return n
}

// newTwoServices starts a fleet of two services, with additional settings in YAML. Runs of the route search send
// subrequests to names.
func newTwoServices(t *testing.T, searchHosts, nameHosts int, settings string, seen *retryRecorder) *fleet {
	t.Helper()
	f := newStore(t)
	f.settings = settings
	f.source = fmt.Sprintf(", retry-share: %g, retry-slack: %g, retry-window: %s", retryShare, retrySlack, retryWindow)
	f.store.Write(platform.DesiredKey, []byte(twoServicesText))
	for n := range searchHosts + nameHosts {
		service := "search"
		if n >= searchHosts {
			service = "names"
		}
		h := f.add(service)
		h.setHandler(h.breakingHandler(seen))
		h.start()
	}
	f.stopConcurrently()
	for _, h := range f.hosts {
		h.startIncarnation("first")
		h.waitReady()
	}
	for _, h := range f.hosts {
		for _, path := range []string{"/search/x", "/names/x"} {
			f.waitUntil(path+" from "+h.daemonName(), func() bool {
				status, _ := h.get(path)
				return status == http.StatusOK
			})
		}
	}
	return f
}

// breakingHandler returns the handler of a backend server that breaks the connections of some of the test's requests,
// half of them before it sends a subrequest.
func (h *host) breakingHandler(seen *retryRecorder) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		if !strings.HasPrefix(id, "q") {
			writeSigned(w, http.StatusOK, "done")
			return
		}
		repeat := seen.recordArrival(h.service, r.URL.Path, id)
		if rand.Float64() < brokenShare/2 {
			panic(http.ErrAbortHandler)
		}
		if strings.HasPrefix(r.URL.Path, "/search/") && rand.Float64() < subrequestShare {
			call := fmt.Sprintf("%s.%d", id, nextID.Add(1))
			seen.recordSent("names", call, repeat)
			h.getWithID(r.Context(), "/names/x", call)
		}
		time.Sleep(10 * time.Millisecond)
		if rand.Float64() < brokenShare/2 {
			panic(http.ErrAbortHandler)
		}
		writeSigned(w, http.StatusOK, "done")
	}
}

// getWithID sends a request with that id to the host's daemon and reports whether it succeeds.
func (h *host) getWithID(ctx context.Context, path, id string) bool {
	response, err := http.DefaultClient.Do(h.newRequest(ctx, http.MethodGet, path, id, ""))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serviceOf returns the service of the route.
func serviceOf(route string) string {
	if route == "quiet" {
		return "search"
	}
	return route
}

// startCallers sends each route perSecond requests a second, from random hosts, until ctx ends.
func (f *fleet) startCallers(ctx context.Context, seen *retryRecorder, perSecond map[string]int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for route, rate := range perSecond {
		wg.Go(func() {
			for ctx.Err() == nil {
				h := f.hosts[rand.IntN(len(f.hosts))]
				id := fmt.Sprintf("q%d", nextID.Add(1))
				seen.recordSent(serviceOf(route), id, false)
				wg.Go(func() { h.getWithID(context.Background(), "/"+route+"/x", id) })
				time.Sleep(time.Second / time.Duration(rate))
			}
		})
	}
	return &wg
}

// TestFleetRetriesStayWithinLimit guards against retries beyond the limit in a fleet that breaks connections,
// with subrequests of retried runs and with frequent restarts of backend servers and daemons.
func TestFleetRetriesStayWithinLimit(t *testing.T) {
	tests := map[string]func(*host){
		"subrequests of retried runs": func(*host) {},
		"backend servers that restart": func(h *host) {
			h.startIncarnation(fmt.Sprintf("again%d", nextID.Add(1)))
		},
		"daemons that restart": func(h *host) {
			h.end()
			h.start()
			h.waitReady()
			h.startIncarnation(fmt.Sprintf("after%d", nextID.Add(1)))
		},
	}
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		t.Run(name, func(t *testing.T) {
			const searchHosts, nameHosts, played = 6, 3, 6 * time.Second
			seen := newRetryRecorder()
			f := newTwoServices(t, searchHosts, nameHosts, "", seen)
			ctx, cancel := context.WithTimeout(t.Context(), played)
			defer cancel()
			requests := f.startCallers(ctx, seen, map[string]int{"search": 250, "names": 20})
			for number := 0; ctx.Err() == nil; number++ {
				time.Sleep(150 * time.Millisecond)
				tests[name](f.hosts[number%len(f.hosts)])
			}
			requests.Wait()
			seen.check(t, "search")
			seen.check(t, "names")
		})
	}
}

// TestRetryIsBorrowed guards against a failed request that is not retried because its host has no budget, although
// another host has a surplus.
func TestRetryIsBorrowed(t *testing.T) {
	f := newStore(t)
	f.source = fmt.Sprintf(", retry-share: %g, retry-slack: 0.01, retry-window: 10s", retryShare)
	f.store.Write(platform.DesiredKey, []byte(twoServicesText))
	var broken atomic.Int64
	for range 3 {
		h := f.add("names")
		h.setHandler(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Request-Id") == "breaks" && broken.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			writeSigned(w, http.StatusOK, "done")
		})
		h.start()
	}
	for _, h := range f.hosts {
		h.startIncarnation("first")
		h.waitReady()
	}
	lender, borrower := f.hosts[0], f.hosts[1]
	f.waitUntil("requests from the lender to each backend server", func() bool {
		lender.get("/names/x")
		return lender.served.Load() > 0 && borrower.served.Load() > 0 && f.hosts[2].served.Load() > 0
	})
	f.waitUntil("the borrower to reach the others", func() bool { // the few requests add less than one retry to its budget
		time.Sleep(500 * time.Millisecond)
		before := lender.served.Load() + f.hosts[2].served.Load()
		borrower.get("/names/x")
		return lender.served.Load()+f.hosts[2].served.Load() > before
	})
	for range 200 {
		lender.get("/names/x")
	}
	if !borrower.getWithID(context.Background(), "/names/x", "breaks") {
		t.Fatalf("request failed although another host has surplus retries; log of its daemon:\n%s", borrower.log.b.String())
	}
	if broken.Load() != 2 {
		t.Fatalf("got %d arrivals, want the broken one and a retry", broken.Load())
	}
}
