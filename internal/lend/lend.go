// Package lend borrows retries from other hosts, and lends them.
//
// Each host may make its part of a service's retries. Where that part is used up, another host may
// have one to spare: its daemon is asked, and counts the retry as its own.
//
// The package owns the counter of retries borrowed, and who is asked. It relies on
// internal/retry, which owns the budgets and decides whether one may be lent, and on
// internal/control for the calls.
//
// # Usage
//
//	lender := lend.New(lend.Config{Host: name, Budgets: budgets, Hosts: hosts, Away: away, Call: client.CallHost, Scope: scope})
//	if lender.Borrow(ctx, "lookup") { ... }
//	handlers[control.MethodLend] = lender.HandleLend
package lend

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/retry"
)

const (
	// maxAsked is how many hosts are asked for a retry, one after the other, before a failed request
	// is given up. Source: where one in two has one to spare, seven in eight requests get one. On a quiet
	// day 144 of 220 did; a third of the others asked in the first two seconds, when nobody had any.
	maxAsked = 3
	// askTimeout bounds the question to one. Source: ten round trips between data centres; the
	// caller waits meanwhile.
	askTimeout = 30 * time.Millisecond
	// maxDraws bounds how often a host to ask is drawn. Not measured: with half of the hosts away or
	// in another data centre, one of eight can be asked in 255 of 256 cases.
	maxDraws = 8
)

// Config holds who borrows, and from which hosts.
type Config struct {
	// Host and DataCentre name this daemon.
	Host, DataCentre string
	// Budgets counts the retries of this host.
	Budgets *retry.Budgets
	// Hosts returns the hosts of the fleet; false while no declaration is in force.
	Hosts func() ([]fleet.Host, bool)
	// Unreachable reports whether the host of that name does not answer.
	Unreachable func(host string) bool
	// Call makes a control call to a host's daemon.
	Call func(ctx context.Context, host fleet.Host, method control.Method, params, answer any) error
	// Scope counts retries borrowed, or asked for in vain.
	Scope tally.Scope
}

// Lender borrows and lends retries.
type Lender struct {
	config           Config
	granted, refused tally.Counter
}

// New returns a lender.
func New(config Config) *Lender {
	counter := func(answer string) tally.Counter {
		return config.Scope.Tagged(map[string]string{"answer": answer}).Counter("ingress_retries_borrowed")
	}
	return &Lender{config: config, granted: counter("granted"), refused: counter("refused")}
}

// Borrow asks other hosts for a retry of a request to the service, first one of this data centre,
// then any, and reports whether one lent it.
func (l *Lender) Borrow(ctx context.Context, service string) bool {
	hosts, ok := l.config.Hosts()
	if !ok || !l.config.Budgets.MayBorrow(time.Now(), service) {
		return false
	}
	var asked fleet.Host
	for n := range maxAsked {
		host, ok := l.draw(hosts, n == 0, asked.Name)
		if !ok {
			continue
		}
		if l.ask(ctx, host, service) {
			l.granted.Inc(1)
			return true
		}
		asked = host
	}
	l.refused.Inc(1)
	l.config.Budgets.Refused(time.Now(), service)
	return false
}

// draw draws a host to ask, other than the one excluded; near draws from this data centre alone.
func (l *Lender) draw(hosts []fleet.Host, near bool, excluded string) (fleet.Host, bool) {
	for range min(maxDraws, len(hosts)) {
		host := hosts[rand.IntN(len(hosts))]
		far := host.DataCentre != l.config.DataCentre
		if host.Name == l.config.Host || host.Name == excluded || near && far || l.config.Unreachable(host.Name) {
			continue
		}
		return host, true
	}
	return fleet.Host{}, false
}

// ask asks one host. Without an answer there is no retry, though the host may have counted one.
func (l *Lender) ask(ctx context.Context, host fleet.Host, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var lent control.LendResponse
	err := l.config.Call(ctx, host, control.MethodLend, control.Lend{Service: service}, &lent)
	return err == nil && lent.Granted
}

// HandleLend answers another daemon that asks for a retry.
func (l *Lender) HandleLend(_ context.Context, params json.RawMessage) (any, error) {
	var lend control.Lend
	if err := control.Decode(params, &lend); err != nil {
		return nil, err
	}
	return control.LendResponse{Granted: l.config.Budgets.Lend(time.Now(), lend.Service)}, nil
}
