package declaration

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// watchCheckEvery is the interval between checks whether to watch the platform.
	watchCheckEvery = time.Second
	// joinTimeout is how long a daemon that registers itself waits to join the others before it
	// may read the declaration from the platform.
	joinTimeout = 2 * time.Second
	// bootstrapGrace is how long after it has joined, or after the platform was last seen, a daemon without
	// a declaration leaves the watching to others.
	bootstrapGrace = 5 * time.Second
)

// Run obtains revisions until ctx is done: it polls other daemons, and watches the
// platform while this daemon is one of the watchers.
func (f *Follower) Run(ctx context.Context) {
	go f.pollPeers(ctx)
	f.awaitJoin(ctx)
	joinedAt := time.Now()
	for ctx.Err() == nil {
		if !f.mustWatch(joinedAt) {
			wait.For(ctx, watchCheckEvery)
			continue
		}
		f.watch(ctx, joinedAt)
	}
}

// awaitJoin waits until the daemon has joined the others, if hosts register themselves. The
// others usually have the declaration already, which saves the store a read and a watch by every
// daemon when a fleet starts.
func (f *Follower) awaitJoin(ctx context.Context) {
	if f.config.Registers {
		wait.ForOrSignal(ctx, joinTimeout, f.config.Members.Joined())
	}
}

// watch watches the platform while this daemon is one of the watchers.
func (f *Follower) watch(ctx context.Context, joinedAt time.Time) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	permanent := f.isPermanentWatcher()
	event.Log(f.config.Logger, event.StoreWatched, "permanent", permanent, "answer_age_ms", f.answerAge().Milliseconds())
	defer event.Log(f.config.Logger, event.StoreUnwatched, "permanent", permanent)
	f.watching.Store(true)
	defer f.watching.Store(false)
	f.config.Health.BeginWatch()
	go f.config.Source.Follow(ctx, f.Revision(), f.apply)
	if f.config.WhileWatching != nil {
		go f.config.WhileWatching(ctx)
	}
	for ctx.Err() == nil && f.mustWatch(joinedAt) {
		wait.For(ctx, watchCheckEvery)
	}
	f.config.Health.EndWatch()
}

// Watches reports whether this daemon watches the platform now.
func (f *Follower) Watches() bool { return f.watching.Load() }

// mustWatch reports whether this daemon has to watch the platform: it is one of the
// watchers, or none of them has been heard from recently.
func (f *Follower) mustWatch(joinedAt time.Time) bool {
	plan := f.plan.Load()
	if plan == nil {
		return true
	}
	seen := f.config.Health.LastSeen()
	if f.inForce.Load() == nil {
		if joinedAt.After(seen) {
			seen = joinedAt
		}
		return plan.IsWatcher() || time.Since(seen) > bootstrapGrace
	}
	return plan.Watches(seen, time.Now())
}

// isPermanentWatcher reports whether the daemon is one of the few that always watch the platform.
func (f *Follower) isPermanentWatcher() bool {
	plan := f.plan.Load()
	return plan != nil && plan.IsWatcher()
}

// unknownAge is the age of an answer of the platform that is not known.
const unknownAge = -time.Millisecond

// answerAge returns how long ago the platform last answered, as far as this daemon knows.
func (f *Follower) answerAge() time.Duration {
	seen := f.config.Health.LastSeen()
	if seen.IsZero() {
		return unknownAge
	}
	return time.Since(seen)
}
