package quota

import "time"

const (
	// urgentCount is how many unreported requests of one customer are worth a report at
	// once. Source: a customer whose rate rises eightfold sends a busy host three requests
	// in an eighth of a second; at its usual rate a host gets as many in a second or more.
	urgentCount = 3
	// urgentEvery is the pause between two reports at least.
	urgentEvery = 100 * time.Millisecond
	// awaitEvery is the pause after which a gate reports that refuses until the next verdict.
	// Source: ten round trips between data centres.
	awaitEvery = 20 * time.Millisecond
	// nearEvery is the pause while a customer is near its limit or beyond. Source: the
	// shares of a customer that comes back below its limit have to rise again soon.
	nearEvery = 200 * time.Millisecond
	// reportEvery is the pause otherwise. Source: together with a collector's it stays
	// below half a second, in which a customer at eight times its usual rate, whose limit is
	// 1.6 times that, spends what the limit gives in two and a half seconds.
	reportEvery = 400 * time.Millisecond
)

const (
	// unconfirmedPart is maxUnconfirmed in parts of the burst that fall to a host. Source: callers are
	// not spread evenly; a flood gets no more than two bursts before the ledger knows.
	unconfirmedPart = 2.0
	// unconfirmedPartEarly is the same before the first verdict. Source: where all daemons start
	// again each second, more than half of the burst a time is beyond the limit.
	unconfirmedPartEarly = 0.5
)

const (
	// minRetryAfter and maxRetryAfter bound what a refused caller is told. Source: the
	// allowances are renewed a few times a second, and callers wait seconds at most.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Decision tells whether a request is admitted.
type Decision struct {
	Admitted bool
	// RetryAfter is when the limit has room for a refused one.
	RetryAfter time.Duration
}

// Gate admits the requests of one daemon's callers.
type Gate struct {
	limits        map[string]Limit
	hosts         int            // that share the limits
	hasVerdict    bool           // there ever was one
	unconfirmed   map[string]int // admitted since the last verdict
	counts        map[string]Count
	allowances    map[string]Allowance
	credit        map[string]float64 // parts of a request that are left from the shares
	awaitsVerdict bool               // some customer has maxUnconfirmed requests admitted since the last verdict
	urgent        bool               // some customer has urgentCount unreported requests
	near          bool               // some customer's share is below one
	reported      time.Time
}

// NewGate returns a gate without limits, which admits everything.
func NewGate() *Gate {
	return &Gate{unconfirmed: make(map[string]int), counts: make(map[string]Count), allowances: make(map[string]Allowance), credit: make(map[string]float64)}
}

// Reconfigure sets the limits by customer, and how many hosts share them. Customers without
// a limit are admitted uncounted.
func (g *Gate) Reconfigure(limits map[string]Limit, hosts int) { g.limits, g.hosts = limits, hosts }

// Admit decides on one request.
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

// admits decides by the customer's allowance, if there is one, and admits no more than the
// maxUnconfirmed between two verdicts: the first share that a flood gets is taken from few requests.
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

// maxUnconfirmed is how many requests of one customer are admitted between two verdicts: twice this
// host's part of the burst, which the bucket holds while the customer is below its limit. It
// bounds what a flood gets before the ledger knows of it. Three daemons that were asked 13,000
// times a second for a customer with a limit of 40 ran 612 requests in four seconds without it,
// 180 being due, and up to 368 while it held only without that bound
// (TestALimitHoldsForTheWholeFleet). Who has used it up
// reports at once, so that a customer whose callers are all on one host waits for one answer
// and is held to nothing else.
func (g *Gate) maxUnconfirmed(limit Limit) float64 {
	part := limit.Burst / float64(max(1, g.hosts))
	if !g.hasVerdict {
		return max(1, unconfirmedPartEarly*part)
	}
	return max(urgentCount, unconfirmedPart*part)
}

// spend adds the share to the customer's credit and takes one request from it, if it is there.
// So the gate admits exactly the share, spread evenly, however few the requests are.
func (g *Gate) spend(customer string, share float64) bool {
	credit := g.credit[customer] + share
	if credit < 1 {
		g.credit[customer] = credit
		return false
	}
	g.credit[customer] = credit - 1
	return true
}

// retryAfter is how long the bucket takes to hold a request again, then to let through what is
// asked within a second beyond the limit, and until what is asked now no longer counts.
func retryAfter(limit Limit, s Allowance) time.Duration {
	seconds := horizon.Seconds() + max(0, 1-s.Level)/limit.Rate
	if s.Share > 0 {
		seconds += 1/s.Share - 1
	}
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second))))
}

// Refund takes back the admission of a request that never reached a backend server.
func (g *Gate) Refund(customer string) {
	if _, limited := g.limits[customer]; !limited {
		return
	}
	count := g.counts[customer]
	count.Customer = customer
	count.Admitted--
	g.counts[customer] = count
}

// Due reports whether it is time for a report.
func (g *Gate) Due(now time.Time) bool {
	since := now.Sub(g.reported)
	switch {
	case g.awaitsVerdict:
		return since >= awaitEvery
	case g.urgent:
		return since >= urgentEvery
	case !g.hasVerdict:
		return since >= urgentEvery
	case g.near:
		return since >= nearEvery
	default:
		return since >= reportEvery
	}
}

// AwaitsVerdict reports whether requests are refused until the next verdict, which the ledger should
// give at once.
func (g *Gate) AwaitsVerdict() bool { return g.awaitsVerdict }

// HasVerdict reports whether there ever was a verdict.
func (g *Gate) HasVerdict() bool { return g.hasVerdict }

// Drain returns what was counted since the last report.
func (g *Gate) Drain(now time.Time) []Count {
	g.reported = now
	g.awaitsVerdict, g.urgent = false, false
	return drain(g.counts)
}

// Restore adds again the counts of a report that was not answered.
func (g *Gate) Restore(counts []Count) { merge(g.counts, counts) }

// SetVerdict sets what is admitted until the next verdict.
func (g *Gate) SetVerdict(v Verdict) {
	if !v.Known {
		return
	}
	g.hasVerdict, g.near = true, false
	clear(g.unconfirmed)
	clear(g.allowances)
	for _, s := range v.Allowances {
		if s.Share < 1 {
			g.allowances[s.Customer] = s
			g.near = true
		}
	}
	for customer := range g.credit {
		if _, near := g.allowances[customer]; !near {
			delete(g.credit, customer)
		}
	}
}

// Allowances returns the customers whose requests are not all admitted.
func (g *Gate) Allowances() map[string]Allowance { return g.allowances }
