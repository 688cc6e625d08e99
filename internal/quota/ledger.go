package quota

import (
	"math"
	"time"
)

const (
	// horizon is the time for which the bucket's level and what flows in are compared with
	// what is asked. Source: a report, its passing on and the answer take some 400 ms
	// together.
	horizon = 500 * time.Millisecond
	// rateWindow is the time over which the rate of requests is taken, with weights that fall
	// off. Source: shorter than the horizon, so that a rise is seen within it.
	rateWindow = 400 * time.Millisecond
	// leeway is how many requests a bucket may owe before a customer is held to a share of
	// its requests. Source: at a few requests a second the rate cannot be known within half
	// a second, and five requests more disturb nobody.
	leeway = 5
	// toldBelow is the part of its burst below which a bucket's level is told, so that another
	// ledger can go on from it.
	toldBelow = 0.5
	// adoptOwnFor is how long a ledger that begins adopts levels from verdicts of its own, which an
	// earlier start of it may have given. It goes on from another's at any time: where daemons
	// come and go, reports go to one host and back to another within a second, whose buckets
	// have filled meanwhile.
	adoptOwnFor = time.Second
	// settleFor is how long a ledger counts before it gives a verdict. Source: in a start of all
	// it takes so long until each daemon has reported twice, and until then a customer at
	// eight times its usual rate looks like one that asks little.
	settleFor = 250 * time.Millisecond
	// leastAge is the time over which the first requests of a bucket are taken for its rate.
	leastAge = 100 * time.Millisecond
	// startDuration is the time for whose tokens a bucket begins after a start of all. Source: a
	// kill and a start of every daemon take half a second or more, in which nobody is admitted.
	startDuration = 400 * time.Millisecond
	// startPart and startWithin are the least part of the hosts that a ledger counts on, and
	// for how long, after a start of all. Source: daemons are back one after the other within
	// a second and a half, while their callers ask as before; if the fleet is in two parts
	// just then, both together go beyond the limit by three quarters of a second's requests,
	// which the rule's tenth allows.
	startPart   = 0.75
	startWithin = 1500 * time.Millisecond
	// backWithin is how long after hosts were no longer heard of they may be back without having been
	// cut off. Source: a collector that starts again has heard of all of its hosts after two reports of each.
	backWithin = time.Second
	// leastBurst is what a bucket can hold however small a part of the fleet is.
	leastBurst = 1
)

// Ledger keeps the buckets of all customers for the hosts that report to it.
type Ledger struct {
	name       string
	limits     map[string]Limit
	buckets    map[string]*bucket
	present    present
	known      int     // hosts
	filledPart float64 // the part of them that the buckets are filled for
	lostPart   float64 // the part that was taken from the buckets of late, at lostAt the last time
	lostAt     time.Time
	began      time.Time
	follows    bool // some reporter had a verdict before: not all have just started
}

// bucket holds a customer's tokens, each good for a request.
type bucket struct {
	level float64
	sum   float64 // of what was asked, each request with a weight that falls off over rateWindow
	at    time.Time
	began time.Time
}

// NewLedger returns a ledger without limits, on the host of that name.
func NewLedger(name string) *Ledger {
	return &Ledger{name: name, buckets: make(map[string]*bucket), present: make(present)}
}

// Reconfigure sets the limits by customer, and how many hosts are known to be there.
func (l *Ledger) Reconfigure(limits map[string]Limit, knownHosts int) {
	l.limits = limits
	l.known = knownHosts
	for customer := range l.buckets {
		if _, limited := limits[customer]; !limited {
			delete(l.buckets, customer)
		}
	}
}

// Add counts a report and returns the verdict.
func (l *Ledger) Add(now time.Time, r Report) Verdict {
	if l.present.hosts(now) == 0 {
		l.began, l.follows = now, false // nobody has reported for a while: what was known is old
		clear(l.buckets)
		l.filledPart, l.lostPart = 0, 0
	}
	l.follows = l.follows || r.HadVerdict || r.LastVerdict.Known
	l.present[r.From] = presence{at: now, hosts: r.Hosts}
	part := l.presentPart(now)
	l.resize(now, part)
	if r.LastVerdict.LedgerHost != l.name || now.Sub(l.began) < adoptOwnFor {
		l.adoptLevels(now, part, r.LastVerdict)
	}
	for _, c := range r.Counts {
		if limit, limited := l.limits[c.Customer]; limited {
			l.bucket(now, c.Customer, limit).add(now, limit.scale(part), c)
		}
	}
	return l.verdict(now, part)
}

// presentPart is the share of the known hosts that report here. Just after a start of all those that
// are not back yet are counted on, up to startPart.
func (l *Ledger) presentPart(now time.Time) float64 {
	part := min(1, float64(l.present.hosts(now))/float64(max(1, l.known)))
	if !l.follows && now.Sub(l.began) < startWithin {
		return max(startPart, part)
	}
	return part
}

// resize has the buckets filled for that part of the hosts from now on. Hosts that no longer
// report may be cut off, with a ledger of their own, into whose buckets their part has flowed since they were
// last heard of: it is taken out of these. Without that a flood that begins with a cut of half of the
// hosts, while a fifth of them restart each second, went above the rule in 5 of 240 simulated plays, by
// up to 84 requests of 2,411; none since, at 0.015 more of what is below the limit refused while the cut
// lasts. Hosts that are back at once were not cut off: their collector has started again.
func (l *Ledger) resize(now time.Time, part float64) {
	change := part - l.filledPart
	l.filledPart = part
	switch {
	case change < 0:
		l.lostPart, l.lostAt = l.lostPart-change, now
	case now.Sub(l.lostAt) < backWithin:
		change = min(change, l.lostPart)
		l.lostPart -= change
	default:
		l.lostPart = 0
		return
	}
	for customer, b := range l.buckets {
		limit := l.limits[customer]
		b.fill(now, limit.scale(part))
		b.level += change * limit.Rate * presentFor.Seconds()
	}
}

// adoptLevels sets the buckets to the levels of a verdict of the ledger before.
func (l *Ledger) adoptLevels(now time.Time, part float64, heard Verdict) {
	if !heard.Known {
		return
	}
	levels := make(map[string]float64, len(heard.Allowances))
	for _, s := range heard.Allowances {
		levels[s.Customer] = s.Level
	}
	for customer, declared := range l.limits {
		limit := declared.scale(part)
		level, low := levels[customer]
		if !low {
			level = limit.Burst
		}
		b, begun := l.buckets[customer]
		if !begun {
			l.buckets[customer] = &bucket{level: min(level, limit.Burst), at: now, began: now}
			continue
		}
		if low {
			b.level = min(b.level, level)
		}
	}
}

// bucket returns the customer's. One that nothing was heard of began with the ledger, with
// what flows in while all start, unless it goes on from another.
func (l *Ledger) bucket(now time.Time, customer string, limit Limit) *bucket {
	b, ok := l.buckets[customer]
	if !ok {
		b = &bucket{at: l.began, began: now}
		if !l.follows {
			b.level = limit.Rate * startDuration.Seconds()
		}
		l.buckets[customer] = b
	}
	return b
}

// scale returns the limit of a part of the fleet.
func (l Limit) scale(part float64) Limit {
	return Limit{Rate: l.Rate * part, Burst: max(leastBurst, l.Burst*part)}
}

// add fills the bucket for the time since the last count and takes out what was admitted.
func (b *bucket) add(now time.Time, limit Limit, c Count) {
	b.fill(now, limit)
	b.level -= float64(c.Admitted)
	b.sum += float64(c.Requested)
}

// fill fills the bucket and lets the rate fall off for the time since it was last filled.
func (b *bucket) fill(now time.Time, limit Limit) {
	since := max(0, now.Sub(b.at)).Seconds()
	b.at = now
	b.level = min(limit.Burst, b.level+limit.Rate*since)
	b.sum *= math.Exp(-since / rateWindow.Seconds())
}

// rate is what is asked, in requests a second. Over a time shorter than rateWindow the weights add
// up to less, which is made good.
func (b *bucket) rate() float64 {
	age := max(leastAge, b.at.Sub(b.began))
	return b.sum / (rateWindow.Seconds() * (1 - math.Exp(-age.Seconds()/rateWindow.Seconds())))
}

// share is which share of the requests leaves the bucket just empty at the horizon.
func (b *bucket) share(limit Limit) float64 {
	room := b.level + leeway + limit.Rate*horizon.Seconds()
	asked := b.rate() * horizon.Seconds()
	if asked <= room {
		return 1
	}
	return max(0, room/asked)
}

// verdict returns the allowances of the customers near their limit.
func (l *Ledger) verdict(now time.Time, part float64) Verdict {
	if now.Sub(l.began) < settleFor {
		return Verdict{}
	}
	v := Verdict{Known: true, LedgerHost: l.name}
	for customer, b := range l.buckets {
		limit := l.limits[customer].scale(part)
		b.fill(now, limit)
		share := b.share(limit)
		if share < 1 || b.level < toldBelow*limit.Burst {
			v.Allowances = append(v.Allowances, Allowance{Customer: customer, Share: round(share), Level: round(b.level)})
		}
	}
	return v
}

// round keeps three decimals, which is what is told.
func round(value float64) float64 {
	const kept = 1000
	return math.Round(value*kept) / kept
}
