package declaration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// watchCheckEvery is the maximum interval between checks whether to watch the platform.
	watchCheckEvery = time.Second
	// minWatchCheck is the minimum interval between these checks.
	minWatchCheck = 20 * time.Millisecond
	// substituteFor is how long a daemon watches the platform in place of watchers that it has not heard from.
	substituteFor = 10 * time.Second
	// substituteAttempt is how long such a daemon waits for the platform to answer. It exceeds the
	// timeout of a call.
	substituteAttempt = 1500 * time.Millisecond
	// minSubstitutePause is the mean pause before the next attempt. In a large fleet it is substitutePausePerHost
	// for each host, so that the attempts of all daemons do not overload a platform that comes back.
	minSubstitutePause     = time.Second
	substitutePausePerHost = 2 * time.Millisecond
	// joinTimeout is how long a daemon that registers itself waits to join the others before it
	// may read the declaration from the platform.
	joinTimeout = 2 * time.Second
	// settleTime is how long after it has joined a daemon with a declaration leaves the watching to others.
	settleTime = time.Second
	// bootstrapGrace is how long after it has joined, or after the platform was last seen, a daemon without
	// a declaration leaves the watching to others.
	bootstrapGrace = 5 * time.Second
)

// Run obtains revisions until ctx is done: it polls other daemons, and watches the
// platform while this daemon is one of the watchers or hears of no answer to them.
func (f *Follower) Run(ctx context.Context) {
	go f.pollPeers(ctx)
	f.awaitJoin(ctx)
	joinedAt := time.Now()
	for ctx.Err() == nil {
		if !f.mustWatch(joinedAt) {
			wait.For(ctx, f.untilWatchCheck())
			continue
		}
		if !f.watch(ctx) {
			wait.For(ctx, f.substitutePause())
		}
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

// watch watches the platform while this daemon is one of the watchers, or for a while in place of
// watchers that it has not heard from. It returns false if it gave up because the platform does not answer.
func (f *Follower) watch(ctx context.Context) bool {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	permanent := f.isPermanentWatcher()
	event.Log(f.config.Logger, event.StoreWatched, "permanent", permanent, "answer_age_ms", f.answerAge().Milliseconds())
	defer event.Log(f.config.Logger, event.StoreUnwatched, "permanent", permanent)
	f.config.Health.BeginWatch()
	defer f.config.Health.EndWatch()
	go f.config.Source.Follow(ctx, f.Revision(), f.apply)
	if f.config.WhileWatching != nil {
		go f.config.WhileWatching(ctx)
	}
	began := time.Now()
	for ctx.Err() == nil && f.keepsWatching(permanent, began) {
		wait.For(ctx, watchCheckEvery)
		if f.isUnanswered(began) {
			return false
		}
	}
	return true
}

// keepsWatching reports whether a daemon that began to watch the platform then, as one of the watchers or in
// place of them, continues.
func (f *Follower) keepsWatching(permanent bool, began time.Time) bool {
	return f.isPermanentWatcher() || !permanent && time.Since(began) < substituteFor
}

// isUnanswered reports whether a daemon that began to watch the platform then in place of others gives up.
func (f *Follower) isUnanswered(began time.Time) bool {
	return !f.isPermanentWatcher() && time.Since(began) > substituteAttempt && f.config.Health.LastSeen().Before(began)
}

// Watches reports whether this daemon watches the platform now.
func (f *Follower) Watches() bool { return f.config.Health.Watching() }

// mustWatch reports whether this daemon has to watch the platform: it is one of the
// watchers, or none of them has been heard from recently. A daemon that has just joined and has a declaration
// gives the others time, since it does not know yet who the watchers are.
func (f *Follower) mustWatch(joinedAt time.Time) bool {
	plan := f.plan.Load()
	seen := f.config.Health.LastSeen()
	if joinedAt.After(seen) {
		seen = joinedAt
	}
	switch {
	case plan == nil:
		return true
	case f.inForce.Load() == nil:
		return plan.IsWatcher() || time.Since(seen) > bootstrapGrace
	case time.Since(joinedAt) < settleTime:
		return false
	default:
		return plan.Watches(seen, time.Now())
	}
}

// untilWatchCheck returns how long to wait before checking again whether to watch the platform.
func (f *Follower) untilWatchCheck() time.Duration {
	plan := f.plan.Load()
	if plan == nil {
		return minWatchCheck
	}
	staleIn := plan.StaleIn(f.config.Health.LastSeen(), time.Now())
	return min(max(staleIn+time.Millisecond, minWatchCheck), watchCheckEvery)
}

// substitutePause returns how long to wait before the next attempt to watch a platform that does not answer.
func (f *Follower) substitutePause() time.Duration {
	hosts, _ := f.Hosts()
	mean := max(minSubstitutePause, time.Duration(len(hosts))*substitutePausePerHost)
	return mean/2 + rand.N(mean)
}

// isPermanentWatcher reports whether the daemon is one of the few that always watch the platform, or does not know.
func (f *Follower) isPermanentWatcher() bool {
	plan := f.plan.Load()
	return plan == nil || plan.IsWatcher()
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
