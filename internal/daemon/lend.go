package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	// lenders is how many hosts are asked for a repeat, one after the other, before a failed request
	// is given up. Source: where one in two has one to spare, seven in eight requests get one; with two,
	// and hosts that kept one for themselves, a fifth of the repeats of a quiet day found none.
	lenders = 3
	// lendWithin bounds the question to one. Source: ten round trips between data centres; the
	// caller waits meanwhile.
	lendWithin = 30 * time.Millisecond
	// noneFor is how long a host that had none to spare of a service is passed over. Source: with three
	// requests a second it earns one in two seconds.
	noneFor = time.Second
	// draws bounds how many hosts are looked at for one to ask.
	draws = 16
)

// lending is whom this daemon asks for repeats.
type lending struct {
	granted, refused tally.Counter // asked with success and in vain

	mu   sync.Mutex
	none map[lender]time.Time // those that had none to spare, when
}

// lender is a host that may lend a repeat of a service.
type lender struct{ host, service string }

func newLending(scope tally.Scope) *lending {
	counter := func(answer string) tally.Counter {
		return scope.Tagged(map[string]string{"answer": answer}).Counter("ingress_retries_borrowed")
	}
	return &lending{granted: counter("granted"), refused: counter("refused"), none: make(map[lender]time.Time)}
}

// hadNone takes it that the host had none to spare, or did not answer.
func (l *lending) hadNone(now time.Time, host, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.none, func(_ lender, at time.Time) bool { return now.Sub(at) >= noneFor })
	l.none[lender{host, service}] = now
}

// mayHave says whether the host is worth asking.
func (l *lending) mayHave(now time.Time, host, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.none[lender{host, service}]
	return !ok || now.Sub(at) >= noneFor
}

// borrow asks other hosts for a repeat of a request to the service: first one of this data centre,
// then any.
func (d *daemon) borrow(ctx context.Context, service string) bool {
	current := d.inForce.Load()
	if current == nil || !d.retries.MayBorrow(time.Now(), service) {
		return false
	}
	asked := 0
	for n := range lenders {
		host, ok := d.drawLender(current.Index.Declaration.Hosts, service, n == 0)
		if !ok {
			continue
		}
		asked++
		if d.askLend(ctx, host, service) {
			d.lending.granted.Inc(1)
			return true
		}
		d.lending.hadNone(time.Now(), host.Name, service)
	}
	d.lending.refused.Inc(1)
	if asked == 0 {
		d.retries.Refused(time.Now(), service)
	}
	return false
}

// drawLender draws a host to ask, near only if it is to be of this data centre.
func (d *daemon) drawLender(hosts []fleet.Host, service string, near bool) (fleet.Host, bool) {
	now := time.Now()
	for range min(draws, len(hosts)) {
		host := hosts[rand.IntN(len(hosts))]
		far := host.DataCentre != d.config.Settings.DataCentre
		if host.Name == d.config.Settings.Name || near && far || d.ingress.Away(host.Name) {
			continue
		}
		if d.lending.mayHave(now, host.Name, service) {
			return host, true
		}
	}
	return fleet.Host{}, false
}

// askLend asks one host. Without an answer there is no repeat, though the host may have counted one.
func (d *daemon) askLend(ctx context.Context, host fleet.Host, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, lendWithin)
	defer cancel()
	var lent control.Lent
	err := d.peers.Call(ctx, d.controlOf(host), control.MethodLend, control.Lend{Service: service}, &lent)
	return err == nil && lent.Granted
}

// callLend takes another daemon's question for a repeat.
func (d *daemon) callLend(params json.RawMessage) (any, error) {
	var lend control.Lend
	if err := decode(params, &lend); err != nil {
		return nil, err
	}
	return control.Lent{Granted: d.retries.Lend(time.Now(), lend.Service)}, nil
}
