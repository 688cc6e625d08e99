package record

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// countAfter is when a daemon counts the hosts that the store lists. Source: hosts that start
	// together have written their records within a few seconds, also while the store is slow; what
	// they share is used later still.
	countAfter = 5 * time.Second
	// sharedFor is how long after the store last took its record a daemon uses its part of what the
	// hosts share. Source: one that starts within the time that is left until the record lapses finds
	// it, and waits.
	sharedFor = 20 * time.Second
	// sharedCheckEvery is how often it is checked whether that time is over. Not measured: it may be used
	// a second longer, and the lease has ten to go.
	sharedCheckEvery = time.Second
	// neverUsed is how long before the first start of a fleet nobody used what its hosts share. Not
	// measured: any time longer than every retry window will do.
	neverUsed = 24 * time.Hour
)

// CountHosts reads the hosts' records once more when this daemon has been there for a while. Those
// that started at the same time are in them, also if none can reach another, so that all hosts
// together share no more than there is. It calls changed when HostsCounted may have
// changed, until ctx ends.
func (r *Record) CountHosts(ctx context.Context, changed func()) {
	if !wait.For(ctx, countAfter) {
		return
	}
	r.ReadAll(ctx)
	r.counted.Store(true)
	changed()
	for used := true; wait.For(ctx, sharedCheckEvery); {
		if now := r.ShareUsable(); now != used {
			used = now
			changed()
		}
	}
}

// ShareUsable reports whether this daemon may use its part of what the hosts share: it knows how many
// they are, and the store has had its record for most of the time.
func (r *Record) ShareUsable() bool {
	confirmed := r.confirmedAt.Load()
	return r.counted.Load() && confirmed != nil && time.Since(*confirmed) < sharedFor
}

// ClaimFirstStart finds out whether this is the first start of a declared host in the first start of its
// fleet, which then uses its part of the slack at once: a hedge needs a retry, and in the first seconds
// no request has earned one. The store keeps a key for each host that ever started, so that a later start
// with the same settings waits for a window as any other does.
func (r *Record) ClaimFirstStart(ctx context.Context) {
	if !r.config.FirstStart {
		return
	}
	key := r.config.Prefix + "/started/" + r.config.Host
	claim := store.Change{Expect: []store.Expect{{Key: key}}, Puts: []store.Put{{Key: key, Data: []byte("{}")}}}
	_, err := r.config.Store.Commit(ctx, claim)
	switch {
	case err == nil:
		r.config.OnShareUnused(neverUsed)
	case !errors.Is(err, store.ErrConflict):
		r.config.Health.RecordFailure(err) // a start that cannot tell waits like a later one
	}
}
