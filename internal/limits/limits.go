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
//	handlers[control.MethodCounted] = l.HandleCounted
package limits

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/quota"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// limitsLook is how often it is looked at whether a report is due. Source: half of the
	// shortest pause between two reports.
	limitsLook = 50 * time.Millisecond
	// limitsIdle is the same while no customer has a limit.
	limitsIdle = time.Second
	// reportWithin bounds a report and its answer. Source: fifty round trips between data
	// centres; a second one may be lost before a limit is much exceeded.
	reportWithin = 150 * time.Millisecond
	// silentFor is how long a daemon that did not answer a report is passed over. Source:
	// twice as long as a daemon that was killed takes to be back.
	silentFor = 2 * time.Second
	// firstOf bounds how many daemons a report is offered to, in their order, before it is
	// taken here. Source: with half of the hosts away, one of eight is there in 255 of 256
	// cases.
	firstOf = 8
	// hostsOfCollector is how many hosts of a data centre share a collector. Source: each
	// reports three times a second while it is asked, and a report takes 0.1 ms of both ends
	// together (BenchmarkReport), so that these take a hundredth of a core.
	hostsOfCollector = 32
)

// Config says who keeps the limits with whom.
type Config struct {
	// Host and DataCentre name this daemon.
	Host, DataCentre string
	// Peers calls other daemons.
	Peers *control.Client
	// Away reports whether the host of that name does not answer.
	Away func(host string) bool
}

// Limits keeps the customers' limits with the other daemons: it is this daemon's gate, and
// a collector or the ledger when others report here.
type Limits struct {
	config    Config
	spent     chan struct{} // holds one while the gate should report at once
	reporting sync.Mutex    // held while a data centre's report is on its way

	mu        sync.Mutex // guards what follows
	gate      *quota.Gate
	collector *quota.Collector
	ledger    *quota.Ledger
	customers []fleet.Customer       // as they were declared last
	declared  map[string]quota.Limit // theirs, of those that have one
	near      []fleet.Host
	all       []fleet.Host
	silent    map[string]time.Time // until when hosts are passed over
	refused   map[string]int64     // requests beyond the limit, by customer
}

// New returns the limits; nothing is limited before Reconfigure.
func New(config Config) *Limits {
	return &Limits{
		config:    config,
		spent:     make(chan struct{}, 1),
		gate:      quota.NewGate(),
		collector: quota.NewCollector(),
		ledger:    quota.NewLedger(config.Host),
		silent:    make(map[string]time.Time),
		refused:   make(map[string]int64),
	}
}

// Reconfigure takes the customers' limits and the hosts that share them.
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
	l.near, l.all = collectorOrder(d.Hosts, l.config.Host, l.config.DataCentre)
	now := time.Now()
	maps.DeleteFunc(l.silent, func(_ string, until time.Time) bool { return now.After(until) })
}

// declare takes the customers' limits. The caller holds mu.
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

// collectorOrder returns the hosts of the data centre, and those of the whole fleet, in the
// order in which this one asks them to collect. All daemons work out the same order of the
// fleet; in a large data centre each begins with one of several collectors.
func collectorOrder(hosts []fleet.Host, self, dataCentre string) (near, all []fleet.Host) {
	const salt = "customers' limits " // so that it is not always the same host that does more
	rank := func(name string) uint64 { return xxhash.Sum64String(salt + name) }
	all = slices.Clone(hosts)
	slices.SortFunc(all, func(a, b fleet.Host) int { return cmp.Compare(rank(a.Name), rank(b.Name)) })
	for _, h := range all {
		if h.DataCentre == dataCentre {
			near = append(near, h)
		}
	}
	collectors := (len(near) + hostsOfCollector - 1) / hostsOfCollector
	near = near[:min(max(firstOf, collectors), len(near))]
	if collectors > 1 {
		first := rank(self) % uint64(collectors)
		near = slices.Concat(near[first:], near[:first])
	}
	return near, all[:min(firstOf, len(all))]
}

// Admit decides on a request of the customer.
func (l *Limits) Admit(customer string) quota.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision := l.gate.Admit(customer)
	if !decision.Admitted {
		l.refused[customer]++
	}
	if l.gate.Spent() {
		select {
		case l.spent <- struct{}{}:
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

// GiveBack takes back the admission of a request that reached no backend server.
func (l *Limits) GiveBack(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate.GiveBack(customer)
}

// Run reports until ctx ends. What this daemon counted and what others reported to it have
// a task each, so that neither waits for the other's answer.
func (l *Limits) Run(ctx context.Context) {
	go l.repeat(ctx, nil, l.passOn)
	l.repeat(ctx, l.spent, l.report)
}

// repeat calls the function as often as a report may be due, and when woken.
func (l *Limits) repeat(ctx context.Context, wake <-chan struct{}, report func(context.Context)) {
	for ctx.Err() == nil {
		l.mu.Lock()
		enforced := len(l.declared) > 0
		l.mu.Unlock()
		if !enforced {
			wait.For(ctx, limitsIdle)
			continue
		}
		report(ctx)
		wait.Woken(ctx, limitsLook, wake)
	}
}

// report tells the data centre's collector what was counted here, if that is due.
func (l *Limits) report(ctx context.Context) {
	now := time.Now()
	l.mu.Lock()
	if !l.gate.Due(now) {
		l.mu.Unlock()
		return
	}
	counted := control.Counted{Urgent: l.gate.Spent()}
	counted.Report = quota.Report{From: l.config.Host, Hosts: 1, Counts: l.gate.Drain(now), Follows: l.gate.Follows()}
	to, remote := l.first(l.near, now)
	l.mu.Unlock()
	var verdict quota.Verdict
	ok := true
	if remote {
		verdict, ok = l.tell(ctx, to, counted)
	} else {
		verdict = l.collect(ctx, counted)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.gate.Restore(counted.Report.Counts)
		return
	}
	l.gate.Hear(verdict)
}

// collect takes a daemon's report and returns the ledger's last verdict. An urgent one is
// passed on before.
func (l *Limits) collect(ctx context.Context, counted control.Counted) quota.Verdict {
	l.mu.Lock()
	verdict := l.collector.Add(time.Now(), counted.Report)
	l.mu.Unlock()
	if !counted.Urgent {
		return verdict
	}
	l.passOnNow(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.collector.Verdict(time.Now())
}

// passOn tells the fleet's ledger what this data centre's daemons reported here, if that is
// due.
func (l *Limits) passOn(ctx context.Context) {
	l.mu.Lock()
	due := l.collector.Due(time.Now())
	l.mu.Unlock()
	if due {
		l.passOnNow(ctx)
	}
}

// passOnNow does so at once, but for the time that another report is on its way: what was
// counted meanwhile goes with one report.
func (l *Limits) passOnNow(ctx context.Context) {
	l.reporting.Lock()
	defer l.reporting.Unlock()
	l.mu.Lock()
	now := time.Now()
	if !l.collector.Added() {
		l.mu.Unlock()
		return // another report has taken it along
	}
	counted := l.collector.Drain(now, l.config.Host)
	to, remote := l.first(l.all, now)
	if !remote {
		l.collector.Hear(now, l.ledger.Take(now, counted))
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	verdict, ok := l.tell(ctx, to, control.Counted{Report: counted, Fleet: true})
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.collector.Restore(counted.Counts)
		return
	}
	l.collector.Hear(time.Now(), verdict)
}

// first returns the first host in the order that is not passed over; it says false if that is
// this one, or if none is left. The caller holds mu.
func (l *Limits) first(order []fleet.Host, now time.Time) (fleet.Host, bool) {
	for _, h := range order {
		if h.Name == l.config.Host {
			break
		}
		if now.After(l.silent[h.Name]) && !l.config.Away(h.Name) {
			return h, true
		}
	}
	return fleet.Host{}, false
}

// tell makes the call, and passes the host over for a while if it does not answer.
func (l *Limits) tell(ctx context.Context, to fleet.Host, counted control.Counted) (quota.Verdict, bool) {
	ctx, cancel := context.WithTimeout(ctx, reportWithin)
	defer cancel()
	var verdict quota.Verdict
	err := l.config.Peers.CallLogged(ctx, l.config.Peers.Address(to), control.MethodCounted, counted, &verdict)
	if err == nil {
		return verdict, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[to.Name] = time.Now().Add(silentFor)
	return quota.Verdict{}, false
}

// HandleCounted answers another daemon's report.
func (l *Limits) HandleCounted(ctx context.Context, params json.RawMessage) (any, error) {
	var counted control.Counted
	if err := control.Decode(params, &counted); err != nil {
		return nil, err
	}
	if !counted.Fleet {
		return l.collect(ctx, counted), nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Take(time.Now(), counted.Report), nil
}
