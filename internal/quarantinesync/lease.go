package quarantinesync

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/store"
)

const (
	// leaseFor is the lifetime of the lease for records that were never quarantined. The store has to keep them for
	// at least as long as daemons do, so that a daemon that sees a second end finds the first.
	leaseFor = 2 * quarantine.SuspectedFor
	// leaseUsed is how long a lease is used for new records, which then last for at least SuspectedFor.
	leaseUsed = leaseFor - quarantine.SuspectedFor
)

// lease is the store lease under which records that were never quarantined expire.
type lease struct {
	mu   sync.Mutex
	id   store.Lease
	from time.Time
}

// get returns a lease that lasts for at least quarantine.SuspectedFor, and requests a new one if needed.
func (l *lease) get(ctx context.Context, kv store.Store) (store.Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != store.NoLease && time.Since(l.from) < leaseUsed {
		return l.id, nil
	}
	from := time.Now()
	id, err := kv.Grant(ctx, leaseFor)
	if err != nil {
		return store.NoLease, errors.Wrap(err, "get lease for suspected requests")
	}
	l.id, l.from = id, from
	return id, nil
}

// drop discards a lease that has expired.
func (l *lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = store.NoLease
}
