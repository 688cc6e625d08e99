package declaration

import (
	"context"
	"math/rand/v2"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// maxDraws is how often another daemon is drawn if one cannot be reached. Not measured: with half of
	// them away, one of five is there in 31 of 32 cases.
	maxDraws = 4
	// anyOneIn is how often any host that was ever told of is asked: once in so many questions. Not measured:
	// at two questions a second, every four seconds.
	anyOneIn = 8
)

// pollPeers asks one other daemon now and then which revision it has; until there
// is a declaration it asks the seeds.
func (f *Follower) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if address, ok := f.drawPeer(); ok {
			f.fetch(ctx, address)
		} else {
			f.pollSeeds(ctx)
		}
		wait.For(ctx, gossip.PollInterval/2+rand.N(gossip.PollInterval))
	}
}

// drawPeer returns the control address of the daemon to ask next. Now and then
// that is any that was ever told of, since one that is gone may be back and know
// nobody.
func (f *Follower) drawPeer() (string, bool) {
	if f.config.Registers && rand.N(anyOneIn) == 0 {
		known := f.config.Members.Hosts()
		if h := known[rand.N(len(known))]; h.Name != f.config.Host {
			return h.Control, true
		}
	}
	plan := f.plan.Load()
	if plan == nil {
		return "", false
	}
	host, ok := plan.PollTarget()
	for range maxDraws {
		if !ok || !f.config.Unreachable(host.Name) {
			break
		}
		host, ok = plan.PollTarget()
	}
	return f.config.Peers.Address(host), ok
}

// pollSeeds asks every seed, and applies the highest revision that any of them has.
func (f *Follower) pollSeeds(ctx context.Context) {
	if f.config.Health.Answers() {
		return
	}
	for _, seed := range f.config.Seeds {
		if f.fetch(ctx, seed) {
			event.Log(f.config.Logger, event.DeclarationFromPeers, "from", seed, "revision", f.Revision())
		}
	}
}
