package retry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/retry"
)

// Users saw more retries at a service than its limit allows, ten seconds long, while backend
// servers of two services broke connections and others came and went. Every daemon kept to its
// own part. What was missing in the sum: calls of runs that were retries themselves (a third of
// what counted, on a day that was played with a line for each sending), and hosts that did not
// add up, since each start had one of its own and daemons knew of between three and six.

const (
	fleetShare  = 0.2
	fleetSlack  = 40.0
	fleetWindow = 10 * time.Second
	fleetHosts  = 20
	// calledHosts are those whose backend servers the others' call.
	calledHosts = 5
	fleetPlay   = 40 * time.Second
	fleetTick   = 50 * time.Millisecond
)

// serviceName is one of two services: runs of search call names.
type serviceName string

const (
	search serviceName = "search"
	names  serviceName = "names"
)

// trouble says what happens to the fleet while it is played.
type trouble struct {
	failing   float64 // share of the arrivals that fail
	calls     float64 // share of the runs of search that call names
	starts    float64 // backend servers that start again under a new name, a second
	restarts  float64 // daemons that start again with an empty memory, a second
	hearsLate bool    // daemons hear of starts and ends seconds late, each by its own delay
	cut       bool    // daemons hear only of those of their own half
}

// simHost is a host of the simulated fleet: a daemon, with a backend server beside it.
type simHost struct {
	number  int
	service serviceName
	away    bool // its backend server has ended and not started again
	daemon  simDaemon
}

// simRequest is a request on its way: to a service, from a host.
type simRequest struct {
	service  serviceName
	from     *simHost
	ofRetry  bool // a run that is a retry itself has called it
	arrivals int
}

// simFleet plays the hosts of both services, and counts as users do.
type simFleet struct {
	random  *rand.Rand
	trouble trouble
	now     time.Time
	hosts   []*simHost
	later   map[int64][]func() // by the number of the tick
	tick    int64
	// requests and retries are when they were sent and when they arrived.
	requests map[serviceName][]time.Time
	retries  map[serviceName][]time.Time
	refused  int // retries that the limit refused
}

func newSimFleet(seed uint64, t trouble) *simFleet {
	f := &simFleet{
		random: rand.New(rand.NewPCG(seed, 0)), trouble: t, now: epoch, later: make(map[int64][]func()),
		requests: make(map[serviceName][]time.Time), retries: make(map[serviceName][]time.Time),
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

// play plays the fleet with so many requests a second of each service.
func (f *simFleet) play(perSecond map[serviceName]float64) {
	for ; f.now.Sub(epoch) < fleetPlay; f.now = f.now.Add(fleetTick) {
		for _, due := range f.later[f.tick] {
			due()
		}
		delete(f.later, f.tick)
		f.change()
		for _, service := range []serviceName{search, names} {
			for range f.chance(perSecond[service]) {
				f.send(&simRequest{service: service, from: f.hosts[f.random.IntN(len(f.hosts))]})
			}
		}
		f.tick++
	}
}

// chance returns how often something happens in this tick that does so many times a second.
func (f *simFleet) chance(perSecond float64) int {
	mean := perSecond * fleetTick.Seconds()
	count := int(mean)
	if f.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// change lets backend servers and daemons start again.
func (f *simFleet) change() {
	for range f.chance(f.trouble.starts) {
		h := f.hosts[f.random.IntN(len(f.hosts))]
		h.away = true
		h.daemon.serverEnded()
		f.in(time.Second, func() {
			h.away = false
			h.daemon.serverStarted()
		})
	}
	for range f.chance(f.trouble.restarts) {
		h := f.hosts[f.random.IntN(len(f.hosts))]
		h.daemon = newSimDaemon(f, h)
	}
}

// in has something done after a while.
func (f *simFleet) in(after time.Duration, do func()) {
	at := f.tick + max(1, int64(after/fleetTick))
	f.later[at] = append(f.later[at], do)
}

// soon has something done within a third of a second: the way there, and a wait for a slot.
func (f *simFleet) soon(do func()) { f.in(time.Duration(f.random.IntN(300))*time.Millisecond, do) }

// send takes a request from its caller.
func (f *simFleet) send(r *simRequest) {
	if !r.ofRetry {
		f.requests[r.service] = append(f.requests[r.service], f.now)
	}
	r.from.daemon.begin(r)
	f.sendTo(r, f.pick(r.service))
}

// pick returns a host with a backend server of the service, or nil.
func (f *simFleet) pick(service serviceName) *simHost {
	able := slices.DeleteFunc(slices.Clone(f.hosts), func(h *simHost) bool { return h.service != service || h.away })
	if len(able) == 0 {
		return nil
	}
	return able[f.random.IntN(len(able))]
}

// sendTo sends the request, for the first time or again, if the limit allows that.
func (f *simFleet) sendTo(r *simRequest, to *simHost) {
	if to == nil {
		return
	}
	again := r.arrivals > 0
	if again && !r.from.daemon.mayRetry(r, to) {
		f.refused++
		return
	}
	f.soon(func() { f.arrive(r, to, again) })
}

// arrive counts the arrival, and lets it fail or run.
func (f *simFleet) arrive(r *simRequest, to *simHost, again bool) {
	r.arrivals++
	if again || r.ofRetry {
		f.retries[r.service] = append(f.retries[r.service], f.now)
	}
	end := to.daemon.run(r, again)
	if r.service == search && f.random.Float64() < f.trouble.calls {
		call := &simRequest{service: names, from: to, ofRetry: again || r.ofRetry}
		f.soon(func() {
			to.daemon.calls(r, call)
			f.send(call)
		})
	}
	fails := f.random.Float64() < f.trouble.failing
	f.in(400*time.Millisecond, func() {
		r.from.daemon.arrived(r, again)
		end()
		if fails && r.arrivals < 2 {
			f.sendTo(r, f.pick(r.service))
		}
	})
}

// worst returns by how many retries the window that begins with one of them exceeds the limit
// most, and how many it has.
func (f *simFleet) worst(service serviceName) (over float64, retries int) {
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

// within counts the times of the window that begins then.
func within(times []time.Time, begin time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(begin) && at.Before(begin.Add(fleetWindow)) {
			n++
		}
	}
	return n
}

// TestAFleetStaysWithinTheLimit plays a fleet in trouble and counts as users do, in any window:
// all arrivals beyond a request's first, and calls of runs that were retries.
func TestAFleetStaysWithinTheLimit(t *testing.T) {
	tests := map[string]trouble{
		"calls of repeated runs":           {failing: 0.6, calls: 0.7},
		"backend servers that start again": {failing: 0.6, starts: 4},
		"daemons that restart":             {failing: 0.6, restarts: 6},
		"daemons that hear late":           {failing: 0.6, starts: 1, hearsLate: true},
		"a cut, and daemons that restart":  {failing: 0.6, restarts: 3, cut: true},
		"all of it":                        {failing: 0.6, calls: 0.7, starts: 2, restarts: 3, hearsLate: true, cut: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newSimFleet(rapid.Uint64().Draw(t, "seed"), test)
				f.play(map[serviceName]float64{
					search: rapid.Float64Range(5, 100).Draw(t, "requests of search a second"),
					names:  rapid.Float64Range(0, 40).Draw(t, "requests of names a second"),
				})
				for _, service := range []serviceName{search, names} {
					if over, retries := f.worst(service); over > 0 {
						t.Fatalf("%s: %d repeats in a window, %.1f beyond the limit", service, retries, over)
					}
				}
			})
		})
	}
}

// fleetSize is what the limit of a service is, with so many hosts.
func fleetSize(hosts int) retry.Limit {
	return retry.Limit{Share: fleetShare, Slack: fleetSlack, Window: fleetWindow, Hosts: hosts}
}
