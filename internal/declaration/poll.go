package declaration

import (
	"context"
	"math/rand/v2"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// maxDraws is the maximum number of further draws if the drawn daemon is unreachable.
	maxDraws = 4
	// anyHostPollRatio is the number of polls of which one, on average, goes to any host ever known.
	anyHostPollRatio = 8
)

// pollPeers periodically queries another daemon for its revision, or the seeds until
// another daemon is known.
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

// drawPeer returns the control address of the daemon to poll next. Occasionally this is
// any host ever known, since a host that was removed may be back and know no others.
func (f *Follower) drawPeer() (string, bool) {
	if f.config.Registers && rand.N(anyHostPollRatio) == 0 {
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

// pollSeeds queries every seed and applies the highest revision among them. It does nothing
// while the platform answers.
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
