package quota

import (
	"time"

	"github.com/tideliftd/tidelift/internal/hash"
)

const (
	// urgentCount is the number of unreported requests of one customer that makes a report
	// urgent.
	urgentCount = 3
	// urgentEvery is the minimum interval between urgent reports, and between reports before the
	// first verdict.
	urgentEvery = 100 * time.Millisecond
	// awaitEvery is the minimum interval between reports while the gate refuses requests until the
	// next verdict.
	awaitEvery = 20 * time.Millisecond
	// nearEvery is the interval between reports while a customer is near or beyond its limit. It is
	// shorter than reportEvery, so that shares rise soon after the customer is below its limit again.
	nearEvery = 200 * time.Millisecond
	// reportEvery is the interval between other reports. With forwardEvery added it stays below half
	// a second, which bounds the requests admitted before a rise in a customer's rate is counted.
	reportEvery = 400 * time.Millisecond
)

const (
	// unconfirmedFactor is multiplied by a host's share of the burst to get maxUnconfirmed. It
	// allows for an uneven spread of callers.
	unconfirmedFactor = 2.0
	// earlyUnconfirmedFactor is the factor before the first verdict. It is smaller, because with
	// frequent restarts each start grants this amount again.
	earlyUnconfirmedFactor = 0.5
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused request.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Decision holds whether a request is admitted.
type Decision struct {
	Admitted bool
	// RetryAfter is the delay after which the limit has room for a refused request.
	RetryAfter time.Duration
}

// Gate admits requests of one daemon's callers.
type Gate struct {
	host          string
	limits        map[string]Limit
	hosts         int            // number of hosts that share the limits
	hasVerdict    bool           // a verdict was received
	unconfirmed   map[string]int // admitted since the last verdict
	counts        map[string]Count
	allowances    map[string]Allowance
	credit        map[string]float64 // fractions of a request accumulated from the shares
	awaitsVerdict bool               // a customer has maxUnconfirmed requests admitted since the last verdict
	urgent        bool               // a customer has urgentCount unreported requests
	nearLimit     bool               // a customer's share is below one
	reportedAt    time.Time
}

// NewGate returns the gate of the host, without limits, which admits every request.
func NewGate(host string) *Gate {
	return &Gate{host: host, unconfirmed: make(map[string]int), counts: make(map[string]Count), allowances: make(map[string]Allowance), credit: make(map[string]float64)}
}

// Reconfigure sets the limits by customer, and the number of hosts that share them. Requests of
// customers without a limit are admitted and not counted.
func (g *Gate) Reconfigure(limits map[string]Limit, hosts int) { g.limits, g.hosts = limits, hosts }

// Admit decides on one request and counts it.
func (g *Gate) Admit(customer string) Decision {
	limit, limited := g.limits[customer]
	if !limited {
		return Decision{Admitted: true}
	}
	count := g.counts[customer]
	count.Customer = customer
	count.Requested++
	g.urgent = g.urgent || count.Requested >= urgentCount
	allowance, near := g.allowances[customer]
	decision := Decision{Admitted: g.admits(customer, limit, allowance, near)}
	if decision.Admitted {
		count.Admitted++
	} else {
		decision.RetryAfter = retryAfter(limit, allowance)
	}
	g.counts[customer] = count
	return decision
}

// admits reports whether a request is within the customer's allowance, if there is one, and
// within maxUnconfirmed since the last verdict. The second check applies to customers with an
// allowance as well, because the first share of a flood is derived from few requests.
func (g *Gate) admits(customer string, limit Limit, allowance Allowance, near bool) bool {
	if near && !g.spend(customer, allowance.Share) {
		return false
	}
	if float64(g.unconfirmed[customer]) < g.maxUnconfirmed(limit) {
		g.unconfirmed[customer]++
		return true
	}
	g.awaitsVerdict = true
	return false
}

// maxUnconfirmed returns the number of requests of one customer that are admitted between two
// verdicts: a multiple of this host's share of the burst, which the bucket holds while the customer
// is below its limit. It bounds the requests of a flood that are admitted before the ledger has
// counted it. When it is used up, the gate reports immediately, so that a customer whose callers
// are all on one host only waits for one answer.
func (g *Gate) maxUnconfirmed(limit Limit) float64 {
	burstShare := limit.Burst / float64(max(1, g.hosts))
	if !g.hasVerdict {
		return max(1, earlyUnconfirmedFactor*burstShare)
	}
	return max(urgentCount, unconfirmedFactor*burstShare)
}

// spend adds the share to the customer's credit and takes one request from it, and reports
// whether the credit sufficed. The gate thus admits exactly the share, evenly spread, even of
// few requests.
func (g *Gate) spend(customer string, share float64) bool {
	credit, known := g.credit[customer]
	if !known {
		// From zero, each gate would refuse the first request: a hundred gates with one each would admit none at a
		// share of 0.9.
		credit = hash.Fraction(g.host, customer)
	}
	credit += share
	if credit < 1 {
		g.credit[customer] = credit
		return false
	}
	g.credit[customer] = credit - 1
	return true
}

// retryAfter returns the time until the bucket holds a request again, plus the time to serve
// those of one second that exceed the limit, plus the horizon, after which current requests no
// longer count.
func retryAfter(limit Limit, s Allowance) time.Duration {
	seconds := horizon.Seconds() + max(0, 1-s.Level)/limit.Rate
	if s.Share > 0 {
		seconds += 1/s.Share - 1
	}
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second))))
}

// Refund reverts the admission of a request that never reached a backend server.
func (g *Gate) Refund(customer string) {
	if _, limited := g.limits[customer]; !limited {
		return
	}
	count := g.counts[customer]
	count.Customer = customer
	count.Admitted--
	g.counts[customer] = count
}

// Due reports whether a report is due.
func (g *Gate) Due(now time.Time) bool {
	since := now.Sub(g.reportedAt)
	switch {
	case g.awaitsVerdict:
		return since >= awaitEvery
	case g.urgent:
		return since >= urgentEvery
	case !g.hasVerdict:
		return since >= urgentEvery
	case g.nearLimit:
		return since >= nearEvery
	default:
		return since >= reportEvery
	}
}

// AwaitsVerdict reports whether requests are refused until the next verdict, which should be
// requested immediately.
func (g *Gate) AwaitsVerdict() bool { return g.awaitsVerdict }

// HasVerdict reports whether a verdict has been received.
func (g *Gate) HasVerdict() bool { return g.hasVerdict }

// Drain returns the counts since the last report and resets them.
func (g *Gate) Drain(now time.Time) []Count {
	g.reportedAt = now
	g.awaitsVerdict, g.urgent = false, false
	return drain(g.counts)
}

// Restore adds back the counts of a report that was not answered.
func (g *Gate) Restore(counts []Count) { merge(g.counts, counts) }

// SetVerdict applies a verdict until the next one. It ignores a verdict that is not known.
func (g *Gate) SetVerdict(v Verdict) {
	if !v.Known {
		return
	}
	g.hasVerdict, g.nearLimit = true, false
	clear(g.unconfirmed)
	clear(g.allowances)
	for _, s := range v.Allowances {
		if s.Share < 1 {
			g.allowances[s.Customer] = s
			g.nearLimit = true
		}
	}
	for customer := range g.credit {
		if _, nearLimit := g.allowances[customer]; !nearLimit {
			delete(g.credit, customer)
		}
	}
}

// Allowances returns the allowances of the customers whose requests are not all admitted.
func (g *Gate) Allowances() map[string]Allowance { return g.allowances }
