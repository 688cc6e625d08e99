package quota

import "time"

const (
	// presentFor is how long a reporter counts as present after a report. Source: reports
	// come every 400 ms at least, so that two may be lost.
	presentFor = time.Second
	// forwardEvery is the pause between two reports of a collector while it has something
	// to forward. Source: ten calls a second of each data centre to one daemon.
	forwardEvery = 100 * time.Millisecond
	// verdictKeptFor is how long a collector passes its last verdict to a ledger that begins. Source: verdicts
	// come ten times a second; a daemon that collects again after a while knows nothing yet.
	verdictKeptFor = 2 * time.Second
	// verdictFreshFor is how long gates are told it. Source: three reports to the ledger. A gate that
	// is told an older one would conclude that a customer is below its limit,
	// while the ledger is gone and the customer's rate rises.
	verdictFreshFor = 300 * time.Millisecond
)

// present records who reported of late, for how many hosts.
type present map[string]presence

// presence is when a reporter last reported, and for how many hosts.
type presence struct {
	at    time.Time
	hosts int
}

// hosts returns how many hosts reported of late, and forgets the others.
func (p present) hosts(now time.Time) int {
	sum := 0
	for from, seen := range p {
		if now.Sub(seen.at) > presentFor {
			delete(p, from)
			continue
		}
		sum += seen.hosts
	}
	return sum
}

// Collector adds up the reports of a data centre's daemons.
type Collector struct {
	present     present
	counts      map[string]Count
	verdict     Verdict
	verdictAt   time.Time
	forwardedAt time.Time
	added       bool
	follows     bool // who reported since the last report had a verdict before
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector {
	return &Collector{present: make(present), counts: make(map[string]Count)}
}

// Add counts a daemon's report and returns what the ledger last said.
func (c *Collector) Add(now time.Time, r Report) Verdict {
	c.present[r.From] = presence{at: now, hosts: r.Hosts}
	c.added = true
	c.follows = c.follows || r.HadVerdict
	merge(c.counts, r.Counts)
	return c.Verdict(now)
}

// Verdict returns what the ledger last said, for gates; it is unknown if that is no longer
// fresh.
func (c *Collector) Verdict(now time.Time) Verdict { return c.verdictWithin(now, verdictFreshFor) }

// verdictWithin returns the last verdict, unless that was longer ago.
func (c *Collector) verdictWithin(now time.Time, length time.Duration) Verdict {
	if now.Sub(c.verdictAt) > length {
		return Verdict{}
	}
	return c.verdict
}

// HasPending reports whether there is something to forward.
func (c *Collector) HasPending() bool { return c.added }

// Due reports whether it is time to forward something.
func (c *Collector) Due(now time.Time) bool { return c.added && now.Sub(c.forwardedAt) >= forwardEvery }

// Drain returns the report to forward under that name.
func (c *Collector) Drain(now time.Time, from string) Report {
	c.forwardedAt = now
	c.added = false
	follows := c.follows
	c.follows = false
	return Report{From: from, Hosts: c.present.hosts(now), Counts: drain(c.counts), HadVerdict: follows, LastVerdict: c.verdictWithin(now, verdictKeptFor)}
}

// Restore adds again the counts of a report that was not answered.
func (c *Collector) Restore(counts []Count) {
	c.added = c.added || len(counts) > 0
	merge(c.counts, counts)
}

// SetVerdict sets what Verdict returns, if the ledger has answered.
func (c *Collector) SetVerdict(now time.Time, v Verdict) {
	if v.Known {
		c.verdict, c.verdictAt = v, now
	}
}
