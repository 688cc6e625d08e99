package quota

import (
	"math"
	"time"
)

const (
	// horizon is the time over which the level and the inflow of a bucket are compared with the
	// expected requests. It covers a report, its forwarding and the answer.
	horizon = 500 * time.Millisecond
	// rateWindow is the time constant of the decaying request rate. It is shorter than the
	// horizon, so that a rise is visible within it.
	rateWindow = 400 * time.Millisecond
	// leeway is the debt, in requests, up to which all of a customer's requests are admitted. It
	// allows for the uncertain estimate of a rate of a few requests per second.
	leeway = 5
	// reportedBelow is the fraction of its burst below which a bucket's level is included in the
	// verdict, so that another ledger can continue from it.
	reportedBelow = 0.5
	// adoptOwnFor is how long a new ledger adopts levels from verdicts under its own name, which
	// its previous incarnation may have sent. Levels of other ledgers are always adopted, since
	// reports can move to another host and back within a second while the buckets here fill.
	adoptOwnFor = time.Second
	// warmUpFor is how long a ledger counts before it gives a verdict, so that each daemon can
	// report twice after a simultaneous start. Earlier rates would be underestimated.
	warmUpFor = 250 * time.Millisecond
	// minRateAge is the minimum time over which the rate of a new bucket is computed.
	minRateAge = 100 * time.Millisecond
	// startupInflow is the time whose inflow a bucket starts with after a simultaneous start. It
	// is less than the restart time of a daemon, in which no request is admitted.
	startupInflow = 400 * time.Millisecond
	// minStartupFraction is the minimum fraction of the hosts that a ledger assumes within
	// startupWithin after a simultaneous start, since daemons return one by one while callers keep
	// sending. Two partitions at that time may together exceed the limit by 0.75 s of requests.
	minStartupFraction = 0.75
	startupWithin      = 1500 * time.Millisecond
	// returnWithin is how long after their reports ended hosts can return without counting as
	// partitioned. A restarted collector has reports of all its hosts within this time.
	returnWithin = time.Second
	// minBurst is the minimum burst of a bucket, regardless of the fraction of hosts that report.
	minBurst = 1
)

// Ledger keeps the buckets of all customers for the hosts that report to it.
type Ledger struct {
	name           string
	limits         map[string]Limit
	buckets        map[string]*bucket
	reporters      reporters
	known          int     // number of declared hosts
	filledFraction float64 // fraction of the known hosts that the buckets are filled for
	lostFraction   float64 // fraction recently taken from the buckets, last at lostAt
	lostAt         time.Time
	startedAt      time.Time
	hadVerdict     bool // a reporter had a verdict before, so that not all daemons have just started
}

// bucket is a customer's token bucket; each request takes one token.
type bucket struct {
	level     float64
	sum       float64 // number of requests, each with a weight that decays over rateWindow
	at        time.Time
	startedAt time.Time
}

// NewLedger returns a ledger without limits on the named host.
func NewLedger(name string) *Ledger {
	return &Ledger{name: name, buckets: make(map[string]*bucket), reporters: make(reporters)}
}

// Reconfigure sets the limits by customer, and the number of declared hosts.
func (l *Ledger) Reconfigure(limits map[string]Limit, knownHosts int) {
	l.limits = limits
	l.known = knownHosts
	for customer := range l.buckets {
		if _, limited := limits[customer]; !limited {
			delete(l.buckets, customer)
		}
	}
}

// Add adds a report and returns the verdict.
func (l *Ledger) Add(now time.Time, r Report) Verdict {
	if l.reporters.hosts(now) == 0 {
		l.startedAt, l.hadVerdict = now, false // no recent report: the state is outdated
		clear(l.buckets)
		l.filledFraction, l.lostFraction = 0, 0
	}
	l.hadVerdict = l.hadVerdict || r.HadVerdict || r.LastVerdict.Known
	l.reporters[r.From] = reporter{at: now, hosts: r.Hosts}
	fraction := l.reportingFraction(now)
	l.resize(now, fraction)
	if r.LastVerdict.LedgerHost != l.name || now.Sub(l.startedAt) < adoptOwnFor {
		l.adoptLevels(now, fraction, r.LastVerdict)
	}
	for _, c := range r.Counts {
		if limit, limited := l.limits[c.Customer]; limited {
			l.bucket(now, c.Customer, limit).add(now, limit.scale(fraction), c)
		}
	}
	return l.verdict(now, fraction)
}

// reportingFraction returns the fraction of the known hosts that report here. Shortly after a
// simultaneous start, hosts that have not returned yet are included, up
// to minStartupFraction.
func (l *Ledger) reportingFraction(now time.Time) float64 {
	fraction := min(1, float64(l.reporters.hosts(now))/float64(max(1, l.known)))
	if !l.hadVerdict && now.Sub(l.startedAt) < startupWithin {
		return max(minStartupFraction, fraction)
	}
	return fraction
}

// resize fills the buckets for the given fraction of the hosts from now on. Hosts that no longer
// report may be partitioned with a ledger of their own, whose buckets have been filled for them
// since their last report here; that inflow is taken out of the buckets here, or a flood that
// begins with the partition would exceed the limit. Hosts that return within returnWithin were
// not partitioned, but their collector has restarted; their inflow is put back.
func (l *Ledger) resize(now time.Time, fraction float64) {
	change := fraction - l.filledFraction
	l.filledFraction = fraction
	switch {
	case change < 0:
		l.lostFraction, l.lostAt = l.lostFraction-change, now
	case now.Sub(l.lostAt) < returnWithin:
		change = min(change, l.lostFraction)
		l.lostFraction -= change
	default:
		l.lostFraction = 0
		return
	}
	for customer, b := range l.buckets {
		limit := l.limits[customer]
		b.fill(now, limit.scale(fraction))
		b.level += change * limit.Rate * reporterTTL.Seconds()
	}
}

// adoptLevels sets the buckets to the levels in the verdict of a previous ledger.
func (l *Ledger) adoptLevels(now time.Time, fraction float64, last Verdict) {
	if !last.Known {
		return
	}
	levels := make(map[string]float64, len(last.Allowances))
	for _, s := range last.Allowances {
		levels[s.Customer] = s.Level
	}
	for customer, declared := range l.limits {
		limit := declared.scale(fraction)
		level, reported := levels[customer]
		if !reported {
			level = limit.Burst
		}
		b, exists := l.buckets[customer]
		if !exists {
			l.buckets[customer] = &bucket{level: min(level, limit.Burst), at: now, startedAt: now}
			continue
		}
		if reported {
			b.level = min(b.level, level)
		}
	}
}

// bucket returns the customer's bucket. A new one counts from the start of the ledger; its
// level is zero if the ledger continues from another, and otherwise the inflow of
// startupInflow.
func (l *Ledger) bucket(now time.Time, customer string, limit Limit) *bucket {
	b, ok := l.buckets[customer]
	if !ok {
		b = &bucket{at: l.startedAt, startedAt: now}
		if !l.hadVerdict {
			b.level = limit.Rate * startupInflow.Seconds()
		}
		l.buckets[customer] = b
	}
	return b
}

// scale returns the limit for a fraction of the hosts.
func (l Limit) scale(fraction float64) Limit {
	return Limit{Rate: l.Rate * fraction, Burst: max(minBurst, l.Burst*fraction)}
}

// add fills the bucket up to now and takes out the admitted requests.
func (b *bucket) add(now time.Time, limit Limit, c Count) {
	b.fill(now, limit)
	b.level -= float64(c.Admitted)
	b.sum += float64(c.Requested)
}

// fill adds the tokens and decays the rate for the time since the last call.
func (b *bucket) fill(now time.Time, limit Limit) {
	since := max(0, now.Sub(b.at)).Seconds()
	b.at = now
	b.level = min(limit.Burst, b.level+limit.Rate*since)
	b.sum *= math.Exp(-since / rateWindow.Seconds())
}

// rate returns the request rate per second. For a bucket younger than rateWindow it is
// corrected for the smaller sum of weights.
func (b *bucket) rate() float64 {
	age := max(minRateAge, b.at.Sub(b.startedAt))
	return b.sum / (rateWindow.Seconds() * (1 - math.Exp(-age.Seconds()/rateWindow.Seconds())))
}

// share returns the share of the requests that leaves the bucket empty at the horizon, apart
// from leeway.
func (b *bucket) share(limit Limit) float64 {
	room := b.level + leeway + limit.Rate*horizon.Seconds()
	expected := b.rate() * horizon.Seconds()
	if expected <= room {
		return 1
	}
	return max(0, room/expected)
}

// verdict returns the allowances of the customers near their limit. It is unknown during
// warmUpFor.
func (l *Ledger) verdict(now time.Time, fraction float64) Verdict {
	if now.Sub(l.startedAt) < warmUpFor {
		return Verdict{}
	}
	v := Verdict{Known: true, LedgerHost: l.name}
	for customer, b := range l.buckets {
		limit := l.limits[customer].scale(fraction)
		b.fill(now, limit)
		share := b.share(limit)
		if share < 1 || b.level < reportedBelow*limit.Burst {
			v.Allowances = append(v.Allowances, Allowance{Customer: customer, Share: round(share), Level: round(b.level)})
		}
	}
	return v
}

// round rounds to the three decimals sent in a verdict.
func round(value float64) float64 {
	const scale = 1000
	return math.Round(value*scale) / scale
}
