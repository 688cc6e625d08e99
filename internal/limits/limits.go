// Package limits enforces the customers' request limits, which apply to the whole fleet.
//
// Each daemon admits requests by its own gate and reports its counts to a collector, a daemon
// of its data centre. Collectors add up the reports and forward them to the ledger, one daemon
// of the fleet, which answers with a verdict: the share of each customer's requests that every
// gate admits until the next verdict. Any daemon acts as collector or ledger when others
// report to it. A daemon that does not answer is skipped in favour of the next one in an order
// that all daemons compute alike.
//
// The package owns the gate, the collector and the ledger of this daemon, and decides when and
// to which daemon each reports. It uses internal/quota for the decisions and internal/control
// for the reports.
//
// # Usage
//
//	l := limits.New(limits.Config{Host: name, DataCentre: dataCentre, Peers: client, Unreachable: ingress.Unreachable})
//	go l.Run(ctx)
//	l.Reconfigure(declaration)
//	if decision := l.Admit(customer); !decision.Admitted { ... }
//	handlers[control.MethodReportCounts] = l.HandleCountReport
package limits

import (
	"maps"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/quota"
)

// Config identifies this daemon and holds its access to the others.
type Config struct {
	// Host and DataCentre are this daemon's names.
	Host, DataCentre string
	// Peers calls other daemons.
	Peers *control.Client
	// Unreachable reports whether the host of that name is unreachable.
	Unreachable func(host string) bool
}

// Limits enforces the customers' limits together with the other daemons: it is this daemon's
// gate, and a collector or the ledger when others report to it.
type Limits struct {
	config        Config
	verdictWanted chan struct{} // holds a value while the gate should report immediately
	forwarding    sync.Mutex    // held while a data centre's report is in flight

	mu           sync.Mutex // guards the fields below
	gate         *quota.Gate
	collector    *quota.Collector
	ledger       *quota.Ledger
	customers    []fleet.Customer       // as last declared
	declared     map[string]quota.Limit // limits of the customers that have one
	collectors   []fleet.Host           // candidates to report to, in order of preference
	ledgers      []fleet.Host           // candidates to report to as a collector, in order of preference
	skippedUntil map[string]time.Time   // time until which hosts are skipped
	refused      map[string]int64       // number of refused requests, by customer
}

// New returns limits that admit every request until Reconfigure is called.
func New(config Config) *Limits {
	return &Limits{
		config:        config,
		verdictWanted: make(chan struct{}, 1),
		gate:          quota.NewGate(config.Host),
		collector:     quota.NewCollector(),
		ledger:        quota.NewLedger(config.Host),
		skippedUntil:  make(map[string]time.Time),
		refused:       make(map[string]int64),
	}
}

// Reconfigure sets the customers' limits and the hosts that share them.
func (l *Limits) Reconfigure(d fleet.Declaration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !fleet.SameCustomers(l.customers, d.Customers) {
		l.declare(d.Customers)
	}
	l.gate.Reconfigure(l.declared, len(d.Hosts))
	l.ledger.Reconfigure(l.declared, len(d.Hosts))
	if len(l.declared) == 0 {
		return // no reports are sent
	}
	l.collectors, l.ledgers = collectorOrder(d.Hosts, l.config.Host, l.config.DataCentre)
	now := time.Now()
	maps.DeleteFunc(l.skippedUntil, func(_ string, until time.Time) bool { return now.After(until) })
}

// declare sets the customers' limits. The caller must hold mu.
func (l *Limits) declare(customers []fleet.Customer) {
	l.customers = customers
	l.declared = make(map[string]quota.Limit)
	for _, c := range customers {
		if c.Rate > 0 {
			l.declared[c.Name] = quota.Limit{Rate: c.Rate, Burst: c.Burst}
		}
	}
	maps.DeleteFunc(l.refused, func(customer string, _ int64) bool {
		_, limited := l.declared[customer]
		return !limited
	})
}

// Admit decides whether a request of the customer is admitted.
func (l *Limits) Admit(customer string) quota.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision := l.gate.Admit(customer)
	if !decision.Admitted {
		l.refused[customer]++
	}
	if l.gate.AwaitsVerdict() {
		select {
		case l.verdictWanted <- struct{}{}:
		default: // already requested
		}
	}
	return decision
}

// Allowances returns the allowances of the customers near their limit, and the number of
// requests of each customer that this daemon refused.
func (l *Limits) Allowances() (map[string]quota.Allowance, map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.gate.Allowances()), maps.Clone(l.refused)
}

// Refund reverts the admission of a request that reached no backend server.
func (l *Limits) Refund(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Refund(customer)
}
