package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	// lenders is how many hosts are asked for a retry, one after the other, before a failed request
	// is given up. Source: where one in two has one to spare, seven in eight requests get one. On a quiet
	// day 144 of 220 did; a third of the others asked in the first two seconds, when nobody had any.
	lenders = 3
	// lendWithin bounds the question to one. Source: ten round trips between data centres; the
	// caller waits meanwhile.
	lendWithin = 30 * time.Millisecond
)

// lending counts retries that this daemon borrowed, or asked for in vain.
type lending struct{ granted, refused tally.Counter }

func newLending(scope tally.Scope) lending {
	counter := func(answer string) tally.Counter {
		return scope.Tagged(map[string]string{"answer": answer}).Counter("ingress_retries_borrowed")
	}
	return lending{granted: counter("granted"), refused: counter("refused")}
}

// borrow asks other hosts for a retry of a request to the service: first one of this data centre,
// then any.
func (d *daemon) borrow(ctx context.Context, service string) bool {
	current := d.inForce.Load()
	if current == nil || !d.retries.MayBorrow(time.Now(), service) {
		return false
	}
	var asked fleet.Host
	for n := range lenders {
		host, ok := d.lender(current.Index.Declaration.Hosts, n == 0, asked.Name)
		if !ok {
			continue
		}
		if d.askLend(ctx, host, service) {
			d.lending.granted.Inc(1)
			return true
		}
		asked = host
	}
	d.lending.refused.Inc(1)
	d.retries.Refused(time.Now(), service)
	return false
}

// lender draws a host to ask, near only if it is to be of this data centre, other than that one.
func (d *daemon) lender(hosts []fleet.Host, near bool, but string) (fleet.Host, bool) {
	const draws = 8
	for range min(draws, len(hosts)) {
		host := hosts[rand.IntN(len(hosts))]
		far := host.DataCentre != d.config.Settings.DataCentre
		if host.Name == d.config.Settings.Name || host.Name == but || near && far || d.ingress.Away(host.Name) {
			continue
		}
		return host, true
	}
	return fleet.Host{}, false
}

// askLend asks one host. Without an answer there is no retry, though the host may have counted one.
func (d *daemon) askLend(ctx context.Context, host fleet.Host, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, lendWithin)
	defer cancel()
	var lent control.Lent
	err := d.peers.CallHost(ctx, host, control.MethodLend, control.Lend{Service: service}, &lent)
	return err == nil && lent.Granted
}

// callLend takes another daemon's question for a retry.
func (d *daemon) callLend(_ context.Context, params json.RawMessage) (any, error) {
	var lend control.Lend
	if err := control.Decode(params, &lend); err != nil {
		return nil, err
	}
	return control.Lent{Granted: d.retries.Lend(time.Now(), lend.Service)}, nil
}
