package daemon

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/wait"
)

// watchEvery is how often it is looked at whether to watch the platform.
const watchEvery = time.Second

// follow brings revisions here until ctx ends: it watches the platform while
// that is this daemon's part, and asks other daemons.
func (d *daemon) follow(ctx context.Context) {
	go d.pollPeers(ctx)
	for ctx.Err() == nil {
		if !d.watches() {
			wait.For(ctx, watchEvery)
			continue
		}
		d.watch(ctx)
	}
}

// watch watches the platform while that is this daemon's part.
func (d *daemon) watch(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.watching.Store(true)
	go d.source.follow(ctx, d.revision(), d.take)
	if !d.registers() {
		go d.followHosts(ctx)
	}
	for ctx.Err() == nil && d.watches() {
		wait.For(ctx, watchEvery)
	}
	d.notePlatform(d.platformLastSeen())
	d.watching.Store(false)
}

// watches says whether this daemon watches the platform: always until it has a
// declaration, then as the plan says.
func (d *daemon) watches() bool {
	plan := d.plan.Load()
	return plan == nil || plan.Watches(d.platformLastSeen(), time.Now())
}
