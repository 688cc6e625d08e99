package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/spread"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// pollTimeout bounds the question which revision another daemon has. Source: a
	// hundred round trips between data centres; a daemon that has missed a change
	// has to have asked several others within two seconds.
	pollTimeout = 400 * time.Millisecond
	// pollTries is how often another daemon is drawn if one cannot be reached.
	pollTries = 4
	// pollAnyOneIn is how often any host that was ever told of is asked.
	pollAnyOneIn = 8
)

// pollPeers asks one other daemon now and then which revision it has; until there
// is a declaration it asks the seeds.
func (d *daemon) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if address, ok := d.pollWhom(); ok {
			d.fetch(ctx, address)
		} else {
			d.pollSeeds(ctx)
		}
		wait.For(ctx, spread.PollEvery/2+rand.N(spread.PollEvery))
	}
}

// pollWhom returns the control address of the daemon to ask next. Now and then
// that is any that was ever told of, since one that is gone may be back and know
// nobody.
func (d *daemon) pollWhom() (string, bool) {
	if known := d.members.all(); d.registers() && rand.N(pollAnyOneIn) == 0 {
		if h := known[rand.N(len(known))]; h.Name != d.config.Settings.Name {
			return h.Control, true
		}
	}
	plan := d.plan.Load()
	if plan == nil {
		return "", false
	}
	host, ok := plan.Poll()
	for range pollTries {
		if !ok || !d.ingress.Away(host.Name) {
			break
		}
		host, ok = plan.Poll()
	}
	return d.controlOf(host), ok
}

// pollSeeds asks every seed, and takes the highest revision that any of them has.
func (d *daemon) pollSeeds(ctx context.Context) {
	if *d.platform.Load() == platformUp {
		return
	}
	for _, seed := range d.config.Settings.Seeds {
		if d.fetch(ctx, seed) {
			event.Log(d.config.Logger, event.DeclarationFromPeers, "from", seed, "revision", d.revision())
		}
	}
}

// fetch takes the revision of the daemon at the address, if it is higher than the
// one here, and says whether it was.
func (d *daemon) fetch(ctx context.Context, address string) bool {
	before := d.revision()
	return d.ask(ctx, address) && d.revision() > before
}

// ask asks the daemon at the address for its revision and for what it knows of hosts,
// and says whether it answered.
func (d *daemon) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var held control.Held
	before := d.revision()
	above := control.Above{Revision: before, Hosts: d.hostsSum()}
	if err := d.peers.Call(ctx, address, control.MethodRevision, above, &held); err != nil {
		return false
	}
	d.exchangeHosts(ctx, address, held)
	d.notePlatform(time.Now().Add(-time.Duration(held.SilentMs) * time.Millisecond))
	if held.Revision.Number > before {
		d.take(held.Revision)
	}
	return true
}
