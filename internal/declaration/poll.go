package declaration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// maxDraws is the maximum number of further draws if the drawn daemon is unreachable.
	maxDraws = 4
	// pollBeforeWatch is how long before a daemon would watch the platform itself it polls another one at the latest,
	// since most often only some notices were lost.
	pollBeforeWatch = 300 * time.Millisecond
	// minPollPause is the minimum pause between two polls.
	minPollPause = 100 * time.Millisecond
	// anyHostPollRatio is the number of polls of which one, on average, goes to any host ever known.
	anyHostPollRatio = 8
)

// peer is another daemon to poll.
type peer struct {
	address    string // of its control calls
	dataCentre string // empty if hosts are compared with it wherever it is
}

// pollPeers periodically queries another daemon for its revision, or the seeds until
// another daemon is known.
func (f *Follower) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		f.answerAgeGauge.Update(f.answerAge().Seconds())
		if from, ok := f.drawPeer(); ok {
			f.fetch(ctx, from)
		} else {
			f.pollSeeds(ctx)
		}
		wait.For(ctx, f.untilPoll(gossip.PollInterval/2+rand.N(gossip.PollInterval)))
	}
}

// untilPoll returns how long to wait before the next poll: the usual time, or less if this daemon would have to watch
// the platform soon.
func (f *Follower) untilPoll(usual time.Duration) time.Duration {
	plan := f.plan.Load()
	if plan == nil || plan.IsWatcher() {
		return usual
	}
	staleIn := plan.StaleIn(f.config.Health.LastSeen(), time.Now())
	if staleIn < 0 {
		return usual
	}
	return min(usual, max(staleIn-pollBeforeWatch, minPollPause))
}

// drawPeer returns the daemon to poll next. Occasionally this is any host ever known, since a host
// that was removed may be back and know no others.
func (f *Follower) drawPeer() (peer, bool) {
	if f.config.Registers && rand.N(anyHostPollRatio) == 0 {
		known := f.config.Members.Hosts()
		h := known[rand.N(len(known))]
		switch {
		case h.Gone:
			return peer{address: h.Control}, true
		case h.Name != f.config.Host:
			return peer{address: h.Control, dataCentre: h.DataCentre}, true
		}
	}
	plan := f.plan.Load()
	if plan == nil {
		return peer{}, false
	}
	host, ok := plan.PollTarget()
	for range maxDraws {
		if !ok || !f.config.Unreachable(host.Name) {
			break
		}
		host, ok = plan.PollTarget()
	}
	return peer{address: f.config.Peers.Address(host), dataCentre: host.DataCentre}, ok
}

// pollSeeds queries every seed and applies the highest revision among them. It does nothing
// while the platform answers.
func (f *Follower) pollSeeds(ctx context.Context) {
	if f.config.Health.Answers() {
		return
	}
	for _, seed := range f.config.Seeds {
		if f.fetch(ctx, peer{address: seed}) {
			event.Log(f.config.Logger, event.DeclarationFromPeers, "from", seed, "revision", f.Revision())
		}
	}
}
