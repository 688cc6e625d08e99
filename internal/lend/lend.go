// Package lend borrows retries from other hosts, and lends retries to them.
//
// Each host may make its share of a service's retries. If that share is used up, the daemon of
// another host may lend a retry of its own, which counts against that host's share.
//
// The package selects the hosts to query and counts the retries borrowed. It relies on
// internal/retry, which owns the budgets and decides whether a retry may be lent, and on
// internal/control for the calls.
//
// # Usage
//
//	lender := lend.New(lend.Config{Host: name, Budgets: budgets, Hosts: hosts, Unreachable: unreachable, Call: client.CallHost, Scope: scope})
//	if lender.Borrow(ctx, "lookup") { ... }
//	handlers[control.MethodLend] = lender.HandleLend
package lend

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/retry"
)

const (
	// maxHostsQueried is the number of hosts queried for a retry, one after the other, before a
	// failed request is not retried. Each host's share is small in a large fleet, and often used up
	// while most of the service's limit is not.
	maxHostsQueried = 8
	// maxLocalQueried is how many of them are in the own data centre, from the first.
	maxLocalQueried = 6
	// queryTimeout bounds a query to one host. It is short, since the caller waits.
	queryTimeout = 30 * time.Millisecond
	// maxPicks bounds the number of random picks for one host to query.
	maxPicks = 4
)

// Config configures a Lender.
type Config struct {
	// Host and DataCentre identify this daemon.
	Host, DataCentre string
	// Budgets holds the retry budgets of this host.
	Budgets *retry.Budgets
	// Hosts returns the hosts of the fleet; false while no declaration is in force.
	Hosts func() ([]fleet.Host, bool)
	// Unreachable reports whether the host with that name does not answer.
	Unreachable func(host string) bool
	// Call makes a control call to a host's daemon.
	Call func(ctx context.Context, host fleet.Host, method control.Method, params, answer any) error
	// Scope counts the retries borrowed and the failures to borrow one.
	Scope tally.Scope
}

// Lender borrows and lends retries.
type Lender struct {
	config           Config
	granted, refused tally.Counter
	lenders          atomic.Pointer[lenders]
}

// lenders are the hosts that may be queried, for one list of hosts.
type lenders struct {
	hosts []fleet.Host
	local []fleet.Host // of the own data centre
}

// New returns a lender.
func New(config Config) *Lender {
	counter := func(answer string) tally.Counter {
		return config.Scope.Tagged(map[string]string{"answer": answer}).Counter("ingress_retries_borrowed")
	}
	return &Lender{config: config, granted: counter("granted"), refused: counter("refused")}
}

// Borrow tries to borrow a retry of a request to the service, first from hosts of this data
// centre, then from any, and reports whether one lent it.
func (l *Lender) Borrow(ctx context.Context, service string) bool {
	hosts, ok := l.config.Hosts()
	if !ok || !l.config.Budgets.MayBorrow(time.Now(), service) {
		return false
	}
	queried := make([]string, 0, maxHostsQueried)
	candidates := l.lendersOf(hosts)
	for n := range maxHostsQueried {
		from := candidates.hosts
		if n < maxLocalQueried {
			from = candidates.local
		}
		host, ok := l.pickHost(from, queried)
		if !ok || ctx.Err() != nil {
			continue
		}
		if l.query(ctx, host, service) {
			l.granted.Inc(1)
			return true
		}
		queried = append(queried, host.Name)
	}
	l.refused.Inc(1)
	l.config.Budgets.RecordRefused(time.Now(), service)
	return false
}

// lendersOf returns the hosts that may be queried. It keeps the last result, since the hosts change
// rarely compared to the queries.
func (l *Lender) lendersOf(hosts []fleet.Host) *lenders {
	last := l.lenders.Load()
	if last != nil && len(last.hosts) == len(hosts) && len(hosts) > 0 && &last.hosts[0] == &hosts[0] {
		return last
	}
	next := &lenders{hosts: hosts}
	for _, host := range hosts {
		if host.DataCentre == l.config.DataCentre && host.Name != l.config.Host {
			next.local = append(next.local, host)
		}
	}
	l.lenders.Store(next)
	return next
}

// pickHost returns a random one of the hosts, other than this one and those already queried.
func (l *Lender) pickHost(from []fleet.Host, queried []string) (fleet.Host, bool) {
	for range min(maxPicks, len(from)) {
		host := from[rand.IntN(len(from))]
		if host.Name == l.config.Host || slices.Contains(queried, host.Name) || l.config.Unreachable(host.Name) {
			continue
		}
		return host, true
	}
	return fleet.Host{}, false
}

// query requests a retry from one host. If there is no answer, it returns false, though the host
// may have counted a retry.
func (l *Lender) query(ctx context.Context, host fleet.Host, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var lent control.LendResponse
	err := l.config.Call(ctx, host, control.MethodLend, control.Lend{Service: service}, &lent)
	return err == nil && lent.Granted
}

// HandleLend handles another daemon's request for a retry.
func (l *Lender) HandleLend(_ context.Context, params json.RawMessage) (any, error) {
	var lend control.Lend
	if err := control.Decode(params, &lend); err != nil {
		return nil, err
	}
	return control.LendResponse{Granted: l.config.Budgets.Lend(time.Now(), lend.Service)}, nil
}
