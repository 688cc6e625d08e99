package retry_test

import (
	"fmt"
	"strconv"
	"time"

	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/runs"
)

// simDaemon keeps the retry limit as a daemon does: it accounts for the requests that begin on its
// host, and for the calls of the host's backend server.
type simDaemon struct {
	fleet   *simFleet
	host    *simHost
	budgets *retry.Budgets
	delay   time.Duration // the delay of updates about other hosts
	// counted is the number of hosts that the platform's store listed one window after the daemon's
	// start; the store does not answer every daemon.
	counted *int
	// open counts the retries that were taken here and have not ended; called marks calls.
	open   map[*simRequest]int
	called map[*simRequest]bool
}

func newSimDaemon(f *simFleet, h *simHost) simDaemon {
	d := simDaemon{fleet: f, host: h, budgets: retry.NewBudgets(retry.Config{Host: strconv.Itoa(h.number), StartedAt: f.now, Borrows: true}), counted: new(int), open: make(map[*simRequest]int), called: make(map[*simRequest]bool)}
	if f.faults.lateUpdates {
		d.delay = time.Duration(f.random.IntN(5000)) * time.Millisecond
	}
	if f.random.IntN(4) > 0 {
		f.schedule(fleetWindow, func() { *d.counted = len(f.hosts) })
	}
	f.schedule(fleetWindow, d.setLimits)
	d.setLimits()
	return d
}

// setLimits sets the limits, with the hosts that the daemon has counted and knows of.
func (d simDaemon) setLimits() {
	limit := fleetLimit(0)
	if *d.counted > 0 {
		limit.Hosts = max(*d.counted, d.knownHosts())
	}
	d.budgets.SetLimits(d.fleet.now, map[string]retry.Limit{string(search): limit, string(names): limit})
}

// knownHosts returns the number of hosts that the daemon knows of.
func (d simDaemon) knownHosts() int {
	count := 0
	for _, h := range d.fleet.hosts {
		sameHalf := h.number%2 == d.host.number%2
		if !h.down && (sameHalf || !d.fleet.faults.partitioned) {
			count++
		}
	}
	return count
}

// notifyDaemons reports the number of hosts to each daemon after its delay.
func (d simDaemon) notifyDaemons() {
	for _, h := range d.fleet.hosts {
		d.fleet.schedule(h.daemon.delay, func() { h.daemon.setLimits() })
	}
}

func (d simDaemon) serverEnded()   { d.notifyDaemons() }
func (d simDaemon) serverStarted() { d.notifyDaemons() }

// begin records a request that begins on the host.
func (d simDaemon) begin(r *simRequest) {
	if !d.called[r] {
		d.budgets.RecordRequest(d.fleet.now, string(r.service))
	}
}

// mayRetry reports whether the request may be sent again, to that host.
func (d simDaemon) mayRetry(r *simRequest, to *simHost) bool {
	now := d.fleet.now
	own := d.budgets.Take(now, string(r.service))
	if !own && !d.borrow(r.service) {
		return false
	}
	began := to.daemon.beginRetry(runOf(r, true))
	if !began && d.fleet.sheds() {
		d.fleet.refusedForCalls[r.route]++
	}
	switch {
	case own && began:
		d.open[r]++
	case own:
		d.budgets.End(now, string(r.service), false)
	}
	return began
}

// beginRetry records that the backend server of the host is sent a retry, and borrows the retries
// that its calls need.
func (d simDaemon) beginRetry(run runs.Run) bool {
	missing := d.budgets.Shortfall(d.fleet.now, run)
	for _, service := range missing {
		if !d.borrow(serviceName(service)) {
			return false
		}
	}
	return d.budgets.BeginRun(d.fleet.now, run, missing)
}

// borrow tries to borrow a retry from three random hosts.
func (d simDaemon) borrow(service serviceName) bool {
	for range 3 {
		other := d.fleet.hosts[d.fleet.random.IntN(len(d.fleet.hosts))]
		if other != d.host && other.daemon.budgets.Lend(d.fleet.now, string(service)) {
			return true
		}
	}
	return false
}

// runOf returns the run of a request.
func runOf(r *simRequest, retried bool) runs.Run {
	return runs.Run{
		ID: fmt.Sprintf("%p", r), Service: string(r.service), Route: string(r.route), Long: r.route != noRoute, Retry: retried || r.ofRetry,
	}
}

// run records that a request is sent to the backend server of the host, and returns the function to
// call at its end.
func (d simDaemon) run(r *simRequest, retried bool) (end func(answered bool)) {
	run := runOf(r, retried)
	if !retried {
		d.budgets.BeginRun(d.fleet.now, run, nil)
	}
	return func(answered bool) {
		if answered {
			d.budgets.RecordAnswered(d.fleet.now, run)
		}
		d.budgets.FinishRun(d.fleet.now, run)
	}
}

// calls records that the run calls a service.
func (d simDaemon) calls(from, call *simRequest) {
	d.called[call] = true
	if d.budgets.RecordCall(d.fleet.now, runOf(from, call.ofRetry), string(call.service)) {
		d.open[call]++
	}
}

// finishArrival records that an arrival of the request has ended.
func (d simDaemon) finishArrival(r *simRequest, retried bool) {
	if (retried || r.ofRetry) && d.open[r] > 0 {
		d.open[r]--
		d.budgets.End(d.fleet.now, string(r.service), true)
	}
}
