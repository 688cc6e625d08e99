package declaration

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// watchCheckEvery is how often it is checked whether to watch the platform. Not measured: the plan changes
	// with the hosts, and two others of the data centre watch meanwhile.
	watchCheckEvery = time.Second
	// joinWithin is how long a daemon that registers itself leaves the platform's declaration
	// to others while it joins them. Source: joining takes three answers of the store and one
	// of a daemon; where that takes longer, others may know nothing either.
	joinWithin = time.Second
	// undeclaredFor is how long a daemon without a declaration relies on others' watching.
	// Source: each asks another twice a second, so that a hundred have heard of the watchers
	// within three seconds.
	undeclaredFor = 3 * time.Second
)

// Run brings revisions here until ctx ends: it watches the platform while
// that is this daemon's part, and asks other daemons.
func (f *Follower) Run(ctx context.Context) {
	go f.pollPeers(ctx)
	f.awaitJoin(ctx)
	for ctx.Err() == nil {
		if !f.Watches() {
			wait.For(ctx, watchCheckEvery)
			continue
		}
		f.watch(ctx)
	}
}

// awaitJoin waits until the daemon has joined the others, if hosts register themselves. The
// others mostly have the declaration, or two of each data centre read it. When every daemon of
// 93 read and watched it by itself at a start, that was 260 of 599 calls to the store.
func (f *Follower) awaitJoin(ctx context.Context) {
	if f.config.Registers {
		wait.Woken(ctx, joinWithin, f.config.Members.Joined())
	}
}

// watch watches the platform while that is this daemon's part.
func (f *Follower) watch(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	f.config.Health.BeginWatch()
	go f.config.Source.Follow(ctx, f.Revision(), f.apply)
	if f.config.WhileWatching != nil {
		go f.config.WhileWatching(ctx)
	}
	for ctx.Err() == nil && f.Watches() {
		wait.For(ctx, watchCheckEvery)
	}
	f.config.Health.EndWatch()
}

// Watches reports whether this daemon watches the platform: as the plan says, or if it has no
// declaration and heard of nobody who watches.
func (f *Follower) Watches() bool {
	plan := f.plan.Load()
	seen := f.config.Health.LastSeen()
	if plan == nil || f.inForce.Load() == nil && time.Since(seen) > undeclaredFor {
		return true
	}
	return plan.Watches(seen, time.Now())
}
