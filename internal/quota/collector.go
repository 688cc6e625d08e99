package quota

import "time"

const (
	// reporterTTL is how long a reporter counts as present after a report. Two
	// consecutive reports may be lost.
	reporterTTL = time.Second
	// forwardEvery is the minimum interval between two reports of a collector to the ledger.
	forwardEvery = 100 * time.Millisecond
	// verdictKeptFor is how long a collector sends its last verdict to a new ledger.
	verdictKeptFor = 2 * time.Second
	// verdictFreshFor is how long a collector returns its last verdict to gates. With an older one
	// a gate could exceed a limit if the rate rises while the ledger is gone.
	verdictFreshFor = 300 * time.Millisecond
)

// reporters holds the recent reporters by host name.
type reporters map[string]reporter

// reporter holds the time of a reporter's last report and the number of its hosts.
type reporter struct {
	at    time.Time
	hosts int
}

// hosts returns the number of hosts with recent reports, and removes expired reporters.
func (r reporters) hosts(now time.Time) int {
	sum := 0
	for from, seen := range r {
		if now.Sub(seen.at) > reporterTTL {
			delete(r, from)
			continue
		}
		sum += seen.hosts
	}
	return sum
}

// Collector adds up the reports of a data centre's daemons.
type Collector struct {
	reporters   reporters
	counts      map[string]Count
	verdict     Verdict
	verdictAt   time.Time
	forwardedAt time.Time
	pending     bool
	hadVerdict  bool // a reporter since the last forwarded report had a verdict before
}

// NewCollector returns a collector without reports.
func NewCollector() *Collector {
	return &Collector{reporters: make(reporters), counts: make(map[string]Count)}
}

// Add adds a daemon's report and returns the last verdict of the ledger.
func (c *Collector) Add(now time.Time, r Report) Verdict {
	c.reporters[r.From] = reporter{at: now, hosts: r.Hosts}
	c.pending = true
	c.hadVerdict = c.hadVerdict || r.HadVerdict
	merge(c.counts, r.Counts)
	return c.Verdict(now)
}

// Verdict returns the last verdict of the ledger for gates; it is unknown once the verdict is
// no longer fresh.
func (c *Collector) Verdict(now time.Time) Verdict { return c.verdictWithin(now, verdictFreshFor) }

// verdictWithin returns the last verdict unless it is older than maxAge.
func (c *Collector) verdictWithin(now time.Time, maxAge time.Duration) Verdict {
	if now.Sub(c.verdictAt) > maxAge {
		return Verdict{}
	}
	return c.verdict
}

// HasPending reports whether there are counts to forward.
func (c *Collector) HasPending() bool { return c.pending }

// Due reports whether forwarding is due.
func (c *Collector) Due(now time.Time) bool {
	return c.pending && now.Sub(c.forwardedAt) >= forwardEvery
}

// Drain returns the report to forward under the host name and resets the counts.
func (c *Collector) Drain(now time.Time, from string) Report {
	c.forwardedAt = now
	c.pending = false
	hadVerdict := c.hadVerdict
	c.hadVerdict = false
	return Report{From: from, Hosts: c.reporters.hosts(now), Counts: drain(c.counts), HadVerdict: hadVerdict, LastVerdict: c.verdictWithin(now, verdictKeptFor)}
}

// Restore adds back the counts of a report that was not answered.
func (c *Collector) Restore(counts []Count) {
	c.pending = c.pending || len(counts) > 0
	merge(c.counts, counts)
}

// SetVerdict stores a verdict of the ledger. It ignores a verdict that is not known.
func (c *Collector) SetVerdict(now time.Time, v Verdict) {
	if v.Known {
		c.verdict, c.verdictAt = v, now
	}
}
