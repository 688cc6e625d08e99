package retry_test

import (
	"fmt"
	"time"

	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/runs"
)

// simDaemon keeps the retry limit as a daemon does: it answers for the requests that begin on its
// host, and for what the backend server beside it calls.
type simDaemon struct {
	fleet   *simFleet
	host    *simHost
	budgets *retry.Budgets
	delay   time.Duration // after which it hears of hosts
	// counted is how many hosts the platform's store listed once the daemon had been there for a
	// while; the store does not answer each.
	counted *int
	// open are retries that were taken here and have not ended; called are calls.
	open   map[*simRequest]int
	called map[*simRequest]bool
}

func newSimDaemon(f *simFleet, h *simHost) simDaemon {
	d := simDaemon{fleet: f, host: h, budgets: retry.NewBudgets(retry.Config{StartedAt: f.now, Borrows: true}), counted: new(int), open: make(map[*simRequest]int), called: make(map[*simRequest]bool)}
	if f.trouble.hearsLate {
		d.delay = time.Duration(f.random.IntN(5000)) * time.Millisecond
	}
	if f.random.IntN(4) > 0 {
		f.in(fleetWindow, func() { *d.counted = len(f.hosts) })
	}
	f.in(fleetWindow, d.resize)
	d.resize()
	return d
}

// resize takes the limits, with the hosts that the daemon has counted and hears of.
func (d simDaemon) resize() {
	size := fleetSize(0)
	if *d.counted > 0 {
		size.Hosts = max(*d.counted, d.known())
	}
	d.budgets.SetLimits(d.fleet.now, map[string]retry.Limit{string(search): size, string(names): size})
}

// known returns how many hosts the daemon hears of.
func (d simDaemon) known() int {
	count := 0
	for _, h := range d.fleet.hosts {
		sameHalf := h.number%2 == d.host.number%2
		if !h.away && (sameHalf || !d.fleet.trouble.cut) {
			count++
		}
	}
	return count
}

// hear lets each daemon hear how many hosts there are.
func (d simDaemon) hear() {
	for _, h := range d.fleet.hosts {
		d.fleet.in(h.daemon.delay, func() { h.daemon.resize() })
	}
}

func (d simDaemon) serverEnded()   { d.hear() }
func (d simDaemon) serverStarted() { d.hear() }

// begin takes a request that begins on the host.
func (d simDaemon) begin(r *simRequest) {
	if !d.called[r] {
		d.budgets.RecordRequest(d.fleet.now, string(r.service))
	}
}

// mayRepeat reports whether the request may be sent again, to that host.
func (d simDaemon) mayRetry(r *simRequest, to *simHost) bool {
	now := d.fleet.now
	own := d.budgets.Take(now, string(r.service))
	if !own && !d.borrows(r.service) {
		return false
	}
	began := to.daemon.begins(runOf(r, true))
	switch {
	case own && began:
		d.open[r]++
	case own:
		d.budgets.End(now, string(r.service), false)
	}
	return began
}

// begins records that the backend server of the host is sent a retry, and borrows what its calls
// will need.
func (d simDaemon) begins(run runs.Run) bool {
	missing := d.budgets.Shortfall(d.fleet.now, run.Service)
	for _, service := range missing {
		if !d.borrows(serviceName(service)) {
			return false
		}
	}
	return d.budgets.BeginRun(d.fleet.now, run, missing)
}

// borrows asks three other hosts for a retry.
func (d simDaemon) borrows(service serviceName) bool {
	for range 3 {
		other := d.fleet.hosts[d.fleet.random.IntN(len(d.fleet.hosts))]
		if other != d.host && other.daemon.budgets.Lend(d.fleet.now, string(service)) {
			return true
		}
	}
	return false
}

// runOf is the run of a request.
func runOf(r *simRequest, again bool) runs.Run {
	return runs.Run{ID: fmt.Sprintf("%p", r), Service: string(r.service), Retry: again || r.ofRetry}
}

// run takes a request that is sent to the backend server of the host, and returns what is
// done at its end.
func (d simDaemon) run(r *simRequest, again bool) (end func()) {
	run := runOf(r, again)
	if !again {
		d.budgets.BeginRun(d.fleet.now, run, nil)
	}
	return func() { d.budgets.FinishRun(d.fleet.now, run) }
}

// calls records that the run calls a service.
func (d simDaemon) calls(from, call *simRequest) {
	d.called[call] = true
	if d.budgets.RecordCall(d.fleet.now, runOf(from, call.ofRetry), string(call.service)) {
		d.open[call]++
	}
}

// arrived records that an arrival of the request has ended.
func (d simDaemon) arrived(r *simRequest, again bool) {
	if (again || r.ofRetry) && d.open[r] > 0 {
		d.open[r]--
		d.budgets.End(d.fleet.now, string(r.service), true)
	}
}
