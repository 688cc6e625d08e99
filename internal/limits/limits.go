// Package limits holds a daemon's requests to the customers' limits, which hold for the whole fleet.
//
// Each daemon admits requests by its own gate and reports what it counted to a collector, a daemon of its
// data centre. Collectors add up and report to the ledger, one daemon of the fleet, which answers with a
// verdict: how much of each customer's requests every gate admits until the next. Any daemon is a
// collector or the ledger when others report to it. One that does not answer is passed over for the next
// in an order that all daemons work out alike.
//
// The package owns the gate, the collector and the ledger of this daemon, and when each reports to whom.
// It relies on internal/quota, which decides, and on internal/control for the reports.
//
// # Usage
//
//	l := limits.New(limits.Config{Host: name, DataCentre: place, Peers: client, Away: ingress.Away})
//	go l.Run(ctx)
//	l.Reconfigure(declaration)
//	if decision := l.Admit(customer); !decision.Admitted { ... }
//	handlers[control.MethodReportCounts] = l.HandleCounted
package limits

import (
	"maps"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/quota"
)

// Config holds who this daemon is and how it reaches the others.
type Config struct {
	// Host and DataCentre name this daemon.
	Host, DataCentre string
	// Peers calls other daemons.
	Peers *control.Client
	// Unreachable reports whether the host of that name does not answer.
	Unreachable func(host string) bool
}

// Limits keeps the customers' limits with the other daemons: it is this daemon's gate, and
// a collector or the ledger when others report here.
type Limits struct {
	config        Config
	verdictWanted chan struct{} // holds one while the gate should report at once
	forwarding    sync.Mutex    // held while a data centre's report is on its way

	mu         sync.Mutex // guards what follows
	gate       *quota.Gate
	collector  *quota.Collector
	ledger     *quota.Ledger
	customers  []fleet.Customer       // as they were declared last
	declared   map[string]quota.Limit // theirs, of those that have one
	collectors []fleet.Host           // to one of which this daemon reports, in this order
	ledgers    []fleet.Host           // to one of which it reports as a collector, in this order
	silent     map[string]time.Time   // until when hosts are passed over
	refused    map[string]int64       // requests beyond the limit, by customer
}

// New returns the limits; nothing is limited before Reconfigure.
func New(config Config) *Limits {
	return &Limits{
		config:        config,
		verdictWanted: make(chan struct{}, 1),
		gate:          quota.NewGate(),
		collector:     quota.NewCollector(),
		ledger:        quota.NewLedger(config.Host),
		silent:        make(map[string]time.Time),
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
		return // nobody is asked to collect
	}
	l.collectors, l.ledgers = collectorOrder(d.Hosts, l.config.Host, l.config.DataCentre)
	now := time.Now()
	maps.DeleteFunc(l.silent, func(_ string, until time.Time) bool { return now.After(until) })
}

// declare sets the customers' limits. The caller holds mu.
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

// Admit decides on a request of the customer.
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
		default: // it is known
		}
	}
	return decision
}

// Allowances returns where the customers near their limit stand, and how many requests of each
// were refused here.
func (l *Limits) Allowances() (map[string]quota.Allowance, map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.gate.Allowances()), maps.Clone(l.refused)
}

// Refund takes back the admission of a request that reached no backend server.
func (l *Limits) Refund(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.Refund(customer)
}
