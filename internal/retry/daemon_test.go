package retry_test

import (
	"time"

	"github.com/tideliftd/tidelift/internal/retry"
)

// simDaemon keeps the retry limit as a daemon does: it has the budget of the backend server
// beside it, which first sendings earn and repeats draw on.
type simDaemon struct {
	fleet  *simFleet
	host   *simHost
	budget *retry.Budget
	delay  time.Duration // after which it hears of starts and ends
}

func newSimDaemon(f *simFleet, h *simHost) simDaemon {
	d := simDaemon{fleet: f, host: h, budget: retry.NewBudget()}
	if f.trouble.hearsLate {
		d.delay = time.Duration(f.random.IntN(5000)) * time.Millisecond
	}
	d.budget.Resize(fleetSize(d.known()))
	return d
}

// known returns how many backend servers of its service the daemon hears of.
func (d simDaemon) known() int {
	count := 0
	for _, h := range d.fleet.hosts {
		sameHalf := h.number%2 == d.host.number%2
		if h.service == d.host.service && !h.away && (sameHalf || !d.fleet.trouble.cut) {
			count++
		}
	}
	return count
}

// hear lets each daemon of the service hear how many backend servers there are.
func (d simDaemon) hear() {
	for _, h := range d.fleet.hosts {
		d.fleet.in(h.daemon.delay, func() { h.daemon.budget.Resize(fleetSize(h.daemon.known())) })
	}
}

func (d simDaemon) serverEnded() { d.hear() }

func (d simDaemon) serverStarted() {
	d.budget = retry.NewBudget() // under its new name it is a new backend server
	d.host.daemon = d
	d.budget.Resize(fleetSize(d.known()))
	d.hear()
}

// begin takes a request that begins on the host.
func (d simDaemon) begin(*simRequest) {}

// mayRepeat says whether the request may be sent again, to that host.
func (d simDaemon) mayRepeat(_ *simRequest, to *simHost) bool {
	return to.daemon.budget.Spend(d.fleet.now)
}

// run takes a request that is sent to the backend server of the host, and returns what is
// done at its end.
func (d simDaemon) run(_ *simRequest, again bool) (end func()) {
	if !again {
		d.budget.Earn(d.fleet.now)
	}
	return func() {}
}

// calls takes it that the run calls a service.
func (d simDaemon) calls(_, _ *simRequest) {}

// arrived takes it that an arrival of the request has ended.
func (d simDaemon) arrived(*simRequest, bool) {}
