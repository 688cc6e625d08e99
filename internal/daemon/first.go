package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/store"
)

// neverUsed is how long before the first start of a fleet nobody used what its hosts share.
const neverUsed = 24 * time.Hour

// claimFirstStart finds out whether this is the first start of a declared host in the first start of its
// fleet, and then uses its part of the slack at once: a hedge needs a retry, and in the first seconds
// no request has earned one. The store keeps a key for each host that ever started, so that a later start
// with the same settings waits for a window as any other does. Hosts that register themselves have
// their records for that.
func (d *daemon) claimFirstStart(ctx context.Context) {
	if d.registers() || !d.config.Settings.FirstStart {
		return
	}
	key := d.config.Settings.Platform.Prefix + "/started/" + d.config.Settings.Name
	claim := store.Change{Expect: []store.Expect{{Key: key}}, Puts: []store.Put{{Key: key, Data: []byte("{}")}}}
	_, err := d.config.Store.Commit(ctx, claim)
	switch {
	case err == nil:
		d.retries.Clear(neverUsed)
	case !errors.Is(err, store.ErrConflict):
		d.platformFailed(err) // a start that cannot tell waits like a later one
	}
}
