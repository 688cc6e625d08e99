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
	// leaseFor is how long the store keeps what was never quarantined. Not measured: twice as long as daemons do,
	// so that one that sees a second end finds the first.
	leaseFor = 2 * quarantine.SuspectTTL
	// leaseUsed is how long one lease is used for new records.
	leaseUsed = leaseFor - quarantine.SuspectTTL
)

// lease is the store's lease with which records end that are no quarantine.
type lease struct {
	mu   sync.Mutex
	id   store.Lease
	from time.Time
}

// get returns a lease that lasts long enough.
func (l *lease) get(ctx context.Context, kv store.Store) (store.Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id != store.NoLease && time.Since(l.from) < leaseUsed {
		return l.id, nil
	}
	from := time.Now()
	id, err := kv.Grant(ctx, leaseFor)
	if err != nil {
		return store.NoLease, errors.Wrap(err, "get lease for what is held against requests")
	}
	l.id, l.from = id, from
	return id, nil
}

// drop forgets a lease that has ended.
func (l *lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = store.NoLease
}
