package retry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/retry"
)

// The simulation guards against a sum of retries beyond a service's limit although every daemon keeps
// to its own share: through the calls of retried runs, and hosts that daemons count differently.

const (
	fleetShare  = 0.2
	fleetSlack  = 40.0
	fleetWindow = 10 * time.Second
	fleetHosts  = 20
	// calledHosts is the number of hosts whose backend servers the others call.
	calledHosts   = 5
	fleetDuration = 40 * time.Second
	shedFrom      = 20 * time.Second
	shedUntil     = 28 * time.Second
	fleetTick     = 50 * time.Millisecond
)

// routeName names one of the routes to search. Runs of the others call nothing.
type routeName string

const (
	noRoute      routeName = ""
	quietRoute   routeName = "search.example/quiet"
	callingRoute routeName = "search.example/calling"
	rareRoute    routeName = "search.example/rare"
	// rareCalls is the share of the runs of rareRoute that call names. Routes that call that seldom are the least
	// predictable ones: runs enough to know a route often do not show it.
	rareCalls = 0.05
)

// serviceName names one of two services: runs of search call names.
type serviceName string

const (
	search serviceName = "search"
	names  serviceName = "names"
)

// faults describes the faults of the simulated fleet.
type faults struct {
	failing        float64 // share of the arrivals that fail
	calls          float64 // share of the runs of search that call names
	serverRestarts float64 // restarts of backend servers under a new name, per second
	daemonRestarts float64 // restarts of daemons with an empty state, per second
	lateUpdates    bool    // daemons learn of starts and ends seconds late, each with its own delay
	partitioned    bool    // daemons learn only of the hosts in their own half
	// shed is the share of the arrivals at search that are rejected, from shedFrom until shedUntil.
	shed float64
	// routes is set if the requests to search have routes, and are long; the share calls then applies to one of them.
	routes bool
	// quietCalls is set if the runs of quietRoute call names from shedFrom on, as after a release.
	quietCalls bool
}

// simHost is a host of the simulated fleet, with a daemon and a backend server.
type simHost struct {
	number  int
	service serviceName
	down    bool // its backend server has ended and not started again
	daemon  simDaemon
}

// simRequest is a request from a host to a service.
type simRequest struct {
	service  serviceName
	route    routeName
	from     *simHost
	ofRetry  bool // called by a run that is itself a retry
	arrivals int
}

// simFleet simulates the hosts of both services, and counts requests and retries independently of
// the budgets.
type simFleet struct {
	random *rand.Rand
	faults faults
	now    time.Time
	hosts  []*simHost
	later  map[int64][]func() // by tick number
	tick   int64
	// requests holds the times of sending, retries those of arrival.
	requests map[serviceName][]time.Time
	retries  map[serviceName][]time.Time
	refused  int // retries that the limit refused
	// refusedForCalls counts the retries that were refused for lack of retries for their calls while search shed, by
	// route.
	refusedForCalls map[routeName]int
}

func newSimFleet(seed uint64, t faults) *simFleet {
	f := &simFleet{
		random: rand.New(rand.NewPCG(seed, 0)), faults: t, now: epoch, later: make(map[int64][]func()),
		requests: make(map[serviceName][]time.Time), retries: make(map[serviceName][]time.Time), refusedForCalls: make(map[routeName]int),
	}
	for n := range fleetHosts {
		h := &simHost{number: n, service: search}
		if n < calledHosts {
			h.service = names
		}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		h.daemon = newSimDaemon(f, h)
	}
	return f
}

// simulate runs the simulation with that many requests per second to each service.
func (f *simFleet) simulate(perSecond map[serviceName]float64) {
	for ; f.now.Sub(epoch) < fleetDuration; f.now = f.now.Add(fleetTick) {
		for _, due := range f.later[f.tick] {
			due()
		}
		delete(f.later, f.tick)
		f.restart()
		for _, service := range []serviceName{search, names} {
			for range f.eventCount(perSecond[service]) {
				f.send(&simRequest{service: service, route: f.pickRoute(service), from: f.hosts[f.random.IntN(len(f.hosts))]})
			}
		}
		f.tick++
	}
}

// pickRoute returns the route of a request to the service.
func (f *simFleet) pickRoute(service serviceName) routeName {
	if !f.faults.routes || service != search {
		return noRoute
	}
	return []routeName{quietRoute, quietRoute, callingRoute, rareRoute}[f.random.IntN(4)]
}

// callShare returns the share of the runs for that request which call names.
func (f *simFleet) callShare(r *simRequest) float64 {
	switch {
	case r.service != search:
		return 0
	case r.route == quietRoute && f.faults.quietCalls && f.now.Sub(epoch) >= shedFrom:
		return 1
	case r.route == quietRoute:
		return 0
	case r.route == rareRoute:
		return rareCalls
	default:
		return f.faults.calls
	}
}

// sheds reports whether search rejects some of its requests now.
func (f *simFleet) sheds() bool {
	since := f.now.Sub(epoch)
	return since >= shedFrom && since < shedUntil
}

// isShed reports whether the arrival of the request is rejected.
func (f *simFleet) isShed(r *simRequest) bool {
	return r.service == search && f.sheds() && f.random.Float64() < f.faults.shed
}

// eventCount returns how often an event with that rate occurs in this tick.
func (f *simFleet) eventCount(perSecond float64) int {
	mean := perSecond * fleetTick.Seconds()
	count := int(mean)
	if f.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// restart restarts backend servers and daemons.
func (f *simFleet) restart() {
	for range f.eventCount(f.faults.serverRestarts) {
		h := f.hosts[f.random.IntN(len(f.hosts))]
		h.down = true
		h.daemon.serverEnded()
		f.schedule(time.Second, func() {
			h.down = false
			h.daemon.serverStarted()
		})
	}
	for range f.eventCount(f.faults.daemonRestarts) {
		h := f.hosts[f.random.IntN(len(f.hosts))]
		h.daemon = newSimDaemon(f, h)
	}
}

// schedule runs do after the delay.
func (f *simFleet) schedule(after time.Duration, do func()) {
	at := f.tick + max(1, int64(after/fleetTick))
	f.later[at] = append(f.later[at], do)
}

// scheduleArrival runs do within 300 ms: the network latency and the wait for a slot.
func (f *simFleet) scheduleArrival(do func()) {
	f.schedule(time.Duration(f.random.IntN(300))*time.Millisecond, do)
}

// send sends a request for the first time.
func (f *simFleet) send(r *simRequest) {
	if !r.ofRetry {
		f.requests[r.service] = append(f.requests[r.service], f.now)
	}
	r.from.daemon.begin(r)
	f.sendTo(r, f.pick(r.service))
}

// pick returns a host with a backend server of the service, or nil.
func (f *simFleet) pick(service serviceName) *simHost {
	able := slices.DeleteFunc(slices.Clone(f.hosts), func(h *simHost) bool { return h.service != service || h.down })
	if len(able) == 0 {
		return nil
	}
	return able[f.random.IntN(len(able))]
}

// sendTo sends the request, for the first time or again, if the limit allows it.
func (f *simFleet) sendTo(r *simRequest, to *simHost) {
	if to == nil {
		return
	}
	retried := r.arrivals > 0
	if retried && !r.from.daemon.mayRetry(r, to) {
		f.refused++
		return
	}
	f.scheduleArrival(func() { f.arrive(r, to, retried) })
}

// finish records the end of an arrival, and sends the request again if it was not answered.
func (f *simFleet) finish(r *simRequest, end func(answered bool), retried, answered bool) {
	r.from.daemon.finishArrival(r, retried)
	end(answered)
	if !answered && r.arrivals < 2 {
		f.sendTo(r, f.pick(r.service))
	}
}

// arrive counts the arrival, and lets it fail or run.
func (f *simFleet) arrive(r *simRequest, to *simHost, retried bool) {
	r.arrivals++
	if retried || r.ofRetry {
		f.retries[r.service] = append(f.retries[r.service], f.now)
	}
	end := to.daemon.run(r, retried)
	if f.isShed(r) {
		f.finish(r, end, retried, false)
		return
	}
	if f.random.Float64() < f.callShare(r) {
		call := &simRequest{service: names, from: to, ofRetry: retried || r.ofRetry}
		f.scheduleArrival(func() {
			to.daemon.calls(r, call)
			f.send(call)
		})
	}
	fails := f.random.Float64() < f.faults.failing
	f.schedule(400*time.Millisecond, func() { f.finish(r, end, retried, !fails) })
}

// maxExcess returns the largest number by which a window that begins with a retry exceeds the
// limit, and the number of retries in that window.
func (f *simFleet) maxExcess(service serviceName) (over float64, retries int) {
	over = -fleetSlack
	for _, at := range f.retries[service] {
		count := within(f.retries[service], at)
		requests := max(within(f.requests[service], at), within(f.requests[service], at.Add(-fleetWindow/2)), within(f.requests[service], at.Add(-fleetWindow)))
		if beyond := float64(count) - fleetShare*float64(requests) - fleetSlack; beyond > over {
			over, retries = beyond, count
		}
	}
	return over, retries
}

// within counts the times in the window that starts at begin.
func within(times []time.Time, begin time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(begin) && at.Before(begin.Add(fleetWindow)) {
			n++
		}
	}
	return n
}

// TestAFleetStaysWithinTheLimit guards against more retries at a service in any window than its
// limit allows, counting every arrival beyond a request's first and the calls of retried runs.
func TestAFleetStaysWithinTheLimit(t *testing.T) {
	tests := map[string]faults{
		"calls of retried runs":                 {failing: 0.6, calls: 0.7},
		"backend servers that restart":          {failing: 0.6, serverRestarts: 4},
		"daemons that restart":                  {failing: 0.6, daemonRestarts: 6},
		"daemons with late updates":             {failing: 0.6, serverRestarts: 1, lateUpdates: true},
		"a partition, and daemons that restart": {failing: 0.6, daemonRestarts: 3, partitioned: true},
		"all faults":                            {failing: 0.6, calls: 0.7, serverRestarts: 2, daemonRestarts: 3, lateUpdates: true, partitioned: true},
		"routes that differ in what they call":  {failing: 0.6, calls: 0.7, routes: true},
		"all faults, and routes that differ":    {failing: 0.6, calls: 0.7, serverRestarts: 2, daemonRestarts: 3, lateUpdates: true, partitioned: true, routes: true},
		"a route that begins to call":           {failing: 0.6, calls: 0.7, shed: 0.3, routes: true, quietCalls: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newSimFleet(rapid.Uint64().Draw(t, "seed"), test)
				f.simulate(map[serviceName]float64{
					search: rapid.Float64Range(5, 100).Draw(t, "requests of search a second"),
					names:  rapid.Float64Range(0, 40).Draw(t, "requests of names a second"),
				})
				for _, service := range []serviceName{search, names} {
					if over, retries := f.maxExcess(service); over > 0 {
						t.Fatalf("%s: %d retries in a window, %.1f beyond the limit", service, retries, over)
					}
				}
			})
		})
	}
}

// fleetLimit returns the limit of a service for that many hosts.
func fleetLimit(hosts int) retry.Limit {
	return retry.Limit{Share: fleetShare, Slack: fleetSlack, Window: fleetWindow, Hosts: hosts}
}
