package quota_test

import (
	"time"

	"github.com/tideliftd/tidelift/internal/quota"
)

// collected is the way of this package: gates, collectors and a ledger.
func collected() simWay {
	var limits map[string]quota.Limit
	messages := 0
	part := func(int) int { return 0 }
	gates := make([]*quota.Gate, simHosts)
	collectors := make([]*quota.Collector, simHosts)
	ledgers := make([]*quota.Ledger, simHosts)
	begin := func(host int) {
		gates[host], collectors[host], ledgers[host] = quota.NewGate(), quota.NewCollector(), quota.NewLedger(customerName(host))
		gates[host].Reconfigure(limits, simHosts)
		ledgers[host].Reconfigure(limits, simHosts)
	}
	for host := range simHosts {
		begin(host)
	}
	var downFor [simHosts]time.Duration // how long a host that is down has been
	// first returns the host of the lowest number in the part that is not known to be down,
	// within a data centre or, for less than zero, anywhere.
	first := func(of, place int) int {
		for host := range simHosts {
			if part(host) == of && (place < 0 || host%simPlaces == place) && downFor[host] < simSilent {
				return host
			}
		}
		return 0
	}
	passOn := func(now time.Time, host int) {
		messages += 2
		report := collectors[host].Drain(now, customerName(host))
		to := first(part(host), -1)
		if downFor[to] > 0 {
			collectors[host].Restore(report.Counts) // it does not answer
			return
		}
		collectors[host].SetVerdict(now, ledgers[to].Add(now.Add(simDelay/2), report))
	}
	report := func(now time.Time, host int) {
		messages += 2
		gate := gates[host]
		spent := gate.AwaitsVerdict()
		counts := gate.Drain(now)
		to := first(part(host), host%simPlaces)
		if downFor[to] > 0 {
			gate.Restore(counts)
			return
		}
		verdict := collectors[to].Add(now.Add(simDelay/2), quota.Report{From: customerName(host), Hosts: 1, Counts: counts, HadVerdict: gate.HasVerdict()})
		if spent {
			passOn(now, to)
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
				passOn(now, host)
			}
		}
	}
	return simWay{
		name:     "counts collected",
		messages: &messages,
		admit:    func(_ time.Time, host, c int) bool { return gates[host].Admit(customerName(c)).Admitted },
		step:     step,
		restart: func(host int) {
			begin(host)
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
		cutOff: func(place func(int) int) { part = place },
	}
}

// refilled is a bucket of a host or an owner.
type refilled struct {
	level float64
	at    time.Time
}

func (b *refilled) fill(now time.Time, rate, burst float64) {
	if !b.at.IsZero() {
		b.level += rate * now.Sub(b.at).Seconds()
	}
	b.level = min(burst, b.level)
	b.at = now
}

// fixed gives each host a fixed part of each limit.
func fixed() simWay {
	var limits []quota.Limit
	messages := 0
	buckets := make(map[[2]int]*refilled)
	return simWay{
		name:     "fixed parts",
		messages: &messages,
		admit: func(now time.Time, host, c int) bool {
			b, ok := buckets[[2]int{host, c}]
			if !ok {
				b = &refilled{level: 1}
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
		cutOff:    func(func(int) int) {},
	}
}

// lease is what an owner has given a host, until it runs out.
type lease struct {
	tokens float64
	until  time.Time
	asked  float64 // since it began
}

// leased has an owner for each customer that leases tokens to hosts for a second, twice what
// each asked in the second before; who is without asks on the request's way. A host that
// cannot reach the owner has a fixed part.
func leased() simWay {
	var limits []quota.Limit
	messages := 0
	part := func(int) int { return 0 }
	owners := make([]refilled, simCustomers)
	leases := make(map[[2]int]*lease)
	alone := fixed()
	ask := func(now time.Time, host, c int) *lease {
		messages += 2
		l, ok := leases[[2]int{host, c}]
		if !ok {
			l = &lease{}
			leases[[2]int{host, c}] = l
		}
		owners[c].fill(now, limits[c].Rate, limits[c].Burst)
		if now.Before(l.until.Add(time.Second)) {
			owners[c].level += l.tokens // what was not used goes back
		}
		want := min(max(1, 2*l.asked), max(0, owners[c].level))
		owners[c].level -= want
		*l = lease{tokens: want, until: now.Add(time.Second)}
		return l
	}
	return simWay{
		name:     "leased shares",
		messages: &messages,
		admit: func(now time.Time, host, c int) bool {
			owner := (c * 37) % simHosts
			l, ok := leases[[2]int{host, c}]
			if !ok || now.After(l.until) || l.tokens < 1 {
				if part(host) != part(owner) {
					return alone.admit(now, host, c)
				}
				l = ask(now, host, c)
			}
			l.asked++
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
					owners[c] = refilled{}
				}
			}
			alone.restart(host)
		},
		setLimits: func(declared []quota.Limit) {
			limits = append([]quota.Limit(nil), declared...)
			alone.setLimits(declared)
			for c := range owners {
				if owners[c].at.IsZero() {
					owners[c].level = limits[c].Burst
				}
			}
		},
		cutOff: func(place func(int) int) { part = place },
	}
}
