package daemon

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// watchEvery is how often it is looked at whether to watch the platform.
	watchEvery = time.Second
	// joinWithin is how long a daemon that registers itself leaves the platform's declaration
	// to others while it joins them. Source: joining takes three answers of the store and one
	// of a daemon; where that takes longer, others may know nothing either.
	joinWithin = time.Second
	// undeclaredFor is how long a daemon without a declaration relies on others' watching.
	// Source: each asks another twice a second, so that a hundred have heard of the watchers
	// within three seconds.
	undeclaredFor = 3 * time.Second
)

// follow brings revisions here until ctx ends: it watches the platform while
// that is this daemon's part, and asks other daemons.
func (d *daemon) follow(ctx context.Context) {
	go d.pollPeers(ctx)
	d.awaitJoin(ctx)
	for ctx.Err() == nil {
		if !d.watches() {
			wait.For(ctx, watchEvery)
			continue
		}
		d.watch(ctx)
	}
}

// awaitJoin waits until the daemon has joined the others, if hosts register themselves. The
// others mostly have the declaration, or two of each data centre read it. When every daemon of
// 93 read and watched it by itself at a start, that was 260 of 599 calls to the store.
func (d *daemon) awaitJoin(ctx context.Context) {
	if d.registers() {
		wait.Woken(ctx, joinWithin, d.members.Joined())
	}
}

// watch watches the platform while that is this daemon's part.
func (d *daemon) watch(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.health.BeginWatch()
	go d.source.follow(ctx, d.revision(), d.take)
	if !d.registers() {
		go d.followHosts(ctx)
	}
	for ctx.Err() == nil && d.watches() {
		wait.For(ctx, watchEvery)
	}
	d.health.EndWatch()
}

// watches says whether this daemon watches the platform: as the plan says, or if it has no
// declaration and heard of nobody who watches.
func (d *daemon) watches() bool {
	plan := d.plan.Load()
	seen := d.health.LastSeen()
	if plan == nil || d.inForce.Load() == nil && time.Since(seen) > undeclaredFor {
		return true
	}
	return plan.Watches(seen, time.Now())
}

// registers reports whether hosts and backend servers register themselves.
func (d *daemon) registers() bool {
	return d.config.Settings.Source.Declared == settings.DeclaredByPlatform
}
