package quota_test

import (
	"time"

	"github.com/tideliftd/tidelift/internal/quota"
)

// collected is the strategy of this package: gates, collectors and a ledger.
func collected() simStrategy {
	var limits map[string]quota.Limit
	messages := 0
	partitionOf := func(int) int { return 0 }
	gates := make([]*quota.Gate, simHosts)
	collectors := make([]*quota.Collector, simHosts)
	ledgers := make([]*quota.Ledger, simHosts)
	start := func(host int) {
		gates[host], collectors[host], ledgers[host] = quota.NewGate(customerName(host)), quota.NewCollector(), quota.NewLedger(customerName(host))
		gates[host].Reconfigure(limits, simHosts)
		ledgers[host].Reconfigure(limits, simHosts)
	}
	for host := range simHosts {
		start(host)
	}
	var downFor [simHosts]time.Duration // time since the host went down
	// first returns the lowest-numbered host in the partition that is not known to be down, in
	// the data centre or, if place is negative, in any.
	first := func(of, place int) int {
		for host := range simHosts {
			if partitionOf(host) == of && (place < 0 || host%simDataCentres == place) && downFor[host] < simSkipAfter {
				return host
			}
		}
		return 0
	}
	forward := func(now time.Time, host int) {
		messages += 2
		report := collectors[host].Drain(now, customerName(host))
		to := first(partitionOf(host), -1)
		if downFor[to] > 0 {
			collectors[host].Restore(report.Counts) // the host does not answer
			return
		}
		collectors[host].SetVerdict(now, ledgers[to].Add(now.Add(simDelay/2), report))
	}
	report := func(now time.Time, host int) {
		messages += 2
		gate := gates[host]
		urgent := gate.AwaitsVerdict()
		counts := gate.Drain(now)
		to := first(partitionOf(host), host%simDataCentres)
		if downFor[to] > 0 {
			gate.Restore(counts)
			return
		}
		verdict := collectors[to].Add(now.Add(simDelay/2), quota.Report{From: customerName(host), Hosts: 1, Counts: counts, HadVerdict: gate.HasVerdict()})
		if urgent {
			forward(now, to)
			verdict = collectors[to].Verdict(now)
		}
		gate.SetVerdict(verdict)
	}
	restarted := make(map[int]bool)
	step := func(now time.Time) {
		for host := range simHosts {
			if !restarted[host] {
				downFor[host] = 0
			}
		}
		clear(restarted)
		for host := range simHosts {
			if downFor[host] == 0 && gates[host].Due(now) {
				report(now, host)
			}
		}
		for host := range simHosts {
			if downFor[host] == 0 && collectors[host].Due(now) {
				forward(now, host)
			}
		}
	}
	return simStrategy{
		name:     "counts collected",
		messages: &messages,
		admit:    func(_ time.Time, host, c int) bool { return gates[host].Admit(customerName(c)).Admitted },
		step:     step,
		restart: func(host int) {
			start(host)
			restarted[host] = true
			downFor[host] += simStep
		},
		setLimits: func(declared []quota.Limit) {
			limits = make(map[string]quota.Limit)
			for c, limit := range declared {
				limits[customerName(c)] = limit
			}
			for host := range simHosts {
				gates[host].Reconfigure(limits, simHosts)
				ledgers[host].Reconfigure(limits, simHosts)
			}
		},
		partition: func(place func(int) int) { partitionOf = place },
	}
}

// tokenBucket is the bucket of a host or an owner.
type tokenBucket struct {
	level float64
	at    time.Time
}

func (b *tokenBucket) fill(now time.Time, rate, burst float64) {
	if !b.at.IsZero() {
		b.level += rate * now.Sub(b.at).Seconds()
	}
	b.level = min(burst, b.level)
	b.at = now
}

// fixed is the strategy of giving each host a fixed share of each limit.
func fixed() simStrategy {
	var limits []quota.Limit
	messages := 0
	buckets := make(map[[2]int]*tokenBucket)
	return simStrategy{
		name:     "fixed parts",
		messages: &messages,
		admit: func(now time.Time, host, c int) bool {
			b, ok := buckets[[2]int{host, c}]
			if !ok {
				b = &tokenBucket{level: 1}
				buckets[[2]int{host, c}] = b
			}
			b.fill(now, limits[c].Rate/simHosts, max(1, limits[c].Burst/simHosts))
			if b.level < 1 {
				return false
			}
			b.level--
			return true
		},
		step: func(time.Time) {},
		restart: func(host int) {
			for c := range simCustomers {
				delete(buckets, [2]int{host, c})
			}
		},
		setLimits: func(declared []quota.Limit) { limits = append([]quota.Limit(nil), declared...) },
		partition: func(func(int) int) {},
	}
}

// lease holds the tokens that an owner has granted to a host until it expires.
type lease struct {
	tokens    float64
	until     time.Time
	requested float64 // requests since it began
}

// leased is the strategy of an owner for each customer that leases tokens to hosts for a
// second, twice as many as the host had requests in the second before; a host without tokens
// requests a lease before it decides. A host that cannot reach the owner uses a fixed share.
func leased() simStrategy {
	var limits []quota.Limit
	messages := 0
	partitionOf := func(int) int { return 0 }
	owners := make([]tokenBucket, simCustomers)
	leases := make(map[[2]int]*lease)
	fallback := fixed()
	renew := func(now time.Time, host, c int) *lease {
		messages += 2
		l, ok := leases[[2]int{host, c}]
		if !ok {
			l = &lease{}
			leases[[2]int{host, c}] = l
		}
		owners[c].fill(now, limits[c].Rate, limits[c].Burst)
		if now.Before(l.until.Add(time.Second)) {
			owners[c].level += l.tokens // unused tokens are returned
		}
		want := min(max(1, 2*l.requested), max(0, owners[c].level))
		owners[c].level -= want
		*l = lease{tokens: want, until: now.Add(time.Second)}
		return l
	}
	return simStrategy{
		name:     "leased shares",
		messages: &messages,
		admit: func(now time.Time, host, c int) bool {
			owner := (c * 37) % simHosts
			l, ok := leases[[2]int{host, c}]
			if !ok || now.After(l.until) || l.tokens < 1 {
				if partitionOf(host) != partitionOf(owner) {
					return fallback.admit(now, host, c)
				}
				l = renew(now, host, c)
			}
			l.requested++
			if l.tokens < 1 {
				return false
			}
			l.tokens--
			return true
		},
		step: func(time.Time) {},
		restart: func(host int) {
			for c := range simCustomers {
				delete(leases, [2]int{host, c})
				if (c*37)%simHosts == host {
					owners[c] = tokenBucket{}
				}
			}
			fallback.restart(host)
		},
		setLimits: func(declared []quota.Limit) {
			limits = append([]quota.Limit(nil), declared...)
			fallback.setLimits(declared)
			for c := range owners {
				if owners[c].at.IsZero() {
					owners[c].level = limits[c].Burst
				}
			}
		},
		partition: func(place func(int) int) { partitionOf = place },
	}
}
