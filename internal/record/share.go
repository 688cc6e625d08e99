package record

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// countDelay is the delay before a daemon counts the hosts. By then, hosts that start together have written their
	// records, even if the store is slow.
	countDelay = 5 * time.Second
	// countSpread is how long the records that others listed take to reach a daemon that does not list them itself.
	countSpread = 2 * time.Second
	// shareTTL is how long a daemon uses its share after the store last confirmed its record. It must be shorter
	// than leaseTTL: an incarnation that starts before the record expires finds it and waits, and one that starts
	// later relies on the share being unused for leaseTTL - shareTTL.
	shareTTL = 20 * time.Second
	// shareCheckInterval is the interval at which shareTTL is checked. The share may be used for this much longer,
	// which must be less than leaseTTL - shareTTL.
	shareCheckInterval = time.Second
	// firstStartUnusedFor is the time for which a share counts as unused before the first start of a fleet. It has to be
	// longer than any retry window.
	firstStartUnusedFor = 24 * time.Hour
)

// CountHosts waits until this daemon knows the hosts that were listed countDelay after the start: it lists them itself
// or receives them from the daemons that do. They then include the hosts that started at the same time, even if these
// cannot reach each other, so the shares do not add up to more than the whole. It calls changed whenever the result of
// ShareUsable may have changed, until ctx ends.
func (r *Record) CountHosts(ctx context.Context, changed func()) {
	if !wait.For(ctx, countDelay) {
		return
	}
	if r.config.MustCount() {
		r.ReadAll(ctx)
	} else if !wait.For(ctx, countSpread) {
		return
	}
	r.counted.Store(true)
	changed()
	for usable := true; wait.For(ctx, shareCheckInterval); {
		if now := r.ShareUsable(); now != usable {
			usable = now
			changed()
		}
	}
}

// ShareUsable reports whether this daemon may use its share of the retry slack: the hosts are counted, and the store
// confirmed this host's record less than shareTTL ago.
func (r *Record) ShareUsable() bool {
	confirmed := r.confirmedAt.Load()
	return r.counted.Load() && confirmed != nil && time.Since(*confirmed) < shareTTL
}

// ClaimFirstStart finds out whether this is the first start of a declared host in the first start of its fleet, and
// calls Config.OnShareUnused if it is, so that the host uses its share immediately. A hedge needs a retry, and in the
// first seconds no request has earned one. The store keeps a key for each host that ever started, so a later start with
// the same settings waits for a retry window.
func (r *Record) ClaimFirstStart(ctx context.Context) {
	if !r.config.FirstStart {
		return
	}
	key := r.config.Prefix + "/started/" + r.config.Host
	claim := store.Change{Expect: []store.Expect{{Key: key}}, Puts: []store.Put{{Key: key, Data: []byte("{}")}}}
	_, err := r.config.Store.Commit(ctx, claim)
	switch {
	case err == nil:
		r.config.OnShareUnused(firstStartUnusedFor)
	case !errors.Is(err, store.ErrConflict):
		r.config.Health.RecordFailure(err) // without an answer, the host waits as after a later start
	}
}
