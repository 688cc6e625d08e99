package daemon

import (
	"context"
	"math/rand/v2"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
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
		wait.For(ctx, gossip.PollEvery/2+rand.N(gossip.PollEvery))
	}
}

// pollWhom returns the control address of the daemon to ask next. Now and then
// that is any that was ever told of, since one that is gone may be back and know
// nobody.
func (d *daemon) pollWhom() (string, bool) {
	if d.registers() && rand.N(pollAnyOneIn) == 0 {
		known := d.members.Hosts()
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
	return d.peers.Address(host), ok
}

// pollSeeds asks every seed, and takes the highest revision that any of them has.
func (d *daemon) pollSeeds(ctx context.Context) {
	if d.health.Answers() {
		return
	}
	for _, seed := range d.config.Settings.Seeds {
		if d.fetch(ctx, seed) {
			event.Log(d.config.Logger, event.DeclarationFromPeers, "from", seed, "revision", d.revision())
		}
	}
}
