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
	// leaseTTL is the lifetime of the lease for records that were never quarantined. The store has to keep them for
	// at least as long as daemons do, so that a daemon that sees a second end finds the first.
	leaseTTL = 2 * quarantine.SuspectTTL
	// leaseReuseTime is how long a lease is used for new records, which then last for at least SuspectTTL.
	leaseReuseTime = leaseTTL - quarantine.SuspectTTL
)

// lease is the store lease under which records that were never quarantined expire.
type lease struct {
	mu          sync.Mutex
	id          store.Lease
	requestedAt time.Time
}

// get returns a lease that lasts for at least quarantine.SuspectTTL, and requests a new one if needed.
func (l *lease) get(ctx context.Context, kv store.Store) (store.Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != store.NoLease && time.Since(l.requestedAt) < leaseReuseTime {
		return l.id, nil
	}
	requestedAt := time.Now()
	id, err := kv.Grant(ctx, leaseTTL)
	if err != nil {
		return store.NoLease, errors.Wrap(err, "get lease for suspected requests")
	}
	l.id, l.requestedAt = id, requestedAt
	return id, nil
}

// discard discards a lease that has expired.
func (l *lease) discard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = store.NoLease
}
