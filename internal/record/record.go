// Package record maintains this host's record in the platform's key-value store. Hosts that register themselves use
// the records to discover each other when they start, and to detect that a host is gone.
//
// A record is attached to a lease: the store deletes it some time after the last renewal. Daemons do not watch the
// records; they notify each other of changes. A record is written again only when a backend server has left, so that the
// next incarnation of the daemon knows of it even if no other daemon remembers.
//
// A record's key contains its data centre, so that a daemon that starts lists the hosts of its own. The others it
// learns from these. Of a large data centre, only a few daemons list all hosts.
//
// The hosts divide the retry slack of a service between them. Each therefore has to know the number of hosts, and must
// not use its share twice. The records provide both: the first write of an incarnation finds out whether the record of
// an earlier one still exists, a few daemons list the records of the hosts again, and a daemon uses its share only
// while the store has its own record. A declared host has no record; it claims its first start by a separate key.
//
// The package owns these keys, the lease, and the state that decides whether the share may be used. It uses
// internal/store for the calls and internal/storehealth for retrying them.
//
// # Usage
//
//	r := record.New(record.Config{Host: name, Store: kv, Prefix: prefix, Health: health, Self: self, OnHosts: onHosts, OnShareUnused: onShareUnused})
//	lease := r.Write(ctx)
//	r.Discover(ctx)
//	go r.CountHosts(ctx, reapply)
//	r.KeepAlive(ctx, lease) // until ctx ends
package record

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/storehealth"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// leaseTTL is the lifetime of a record that is not renewed. A host that returns within it does not count as
	// gone.
	leaseTTL = 30 * time.Second
	// renewInterval is the interval between renewals of the lease, of which two in a row may be lost.
	renewInterval = 10 * time.Second
	// getTimeout is the timeout for reading another host's record. The read is repeated while the host does not
	// answer.
	getTimeout = 2 * time.Second
	// listingDaemons is about how many daemons of each data centre list all hosts when they start.
	listingDaemons = 8
)

// Config configures a Record.
type Config struct {
	// Host is the name of this host.
	Host string
	// Store holds the records. All keys begin with Prefix.
	Store  store.Store
	Prefix string
	// FirstStart is true if the settings declare this the first start of the fleet.
	FirstStart bool
	// Health retries the store calls and receives their outcomes.
	Health *storehealth.Health
	// Logger receives events of records that cannot be decoded.
	Logger *slog.Logger
	// Self returns the content of this host's record.
	Self func() member.Host
	// OnHosts receives the hosts that were read from the store.
	OnHosts func([]member.Host)
	// MustCount reports whether this daemon has to list the hosts again some time after its start, rather than
	// rely on others that do.
	MustCount func() bool
	// OnShareUnused is called if no incarnation of this host used its share of the retry slack recently, with the time
	// before this start for which the share is known to be unused.
	OnShareUnused func(before time.Duration)
}

// Record is this host's record in the store.
type Record struct {
	config    Config
	lease     atomic.Int64  // the current lease; store.NoLease before the first write
	written   chan struct{} // closed once the record has been written
	hadRecord atomic.Bool   // the store is known to have had a record of this host, of any incarnation
	counted   atomic.Bool   // the hosts were listed countDelay after the start
	// confirmedAt is the time of the last request by which the store wrote or renewed the record; nil if there is
	// none. It is compared by its monotonic reading, since the wall clock may step.
	confirmedAt atomic.Pointer[time.Time]
}

// New returns a Record. It does not write to the store.
func New(config Config) *Record { return &Record{config: config, written: make(chan struct{})} }

// Written returns a channel that is closed once the record has been written for the first time, and Config.OnHosts has
// received the record of an earlier incarnation, if there was one.
func (r *Record) Written() <-chan struct{} { return r.written }

// prefix returns the prefix of the keys of all records.
func (r *Record) prefix() string { return r.config.Prefix + "/hosts/" }

// dataCentrePrefix returns the prefix of the keys of a data centre's records.
func (r *Record) dataCentrePrefix(dataCentre string) string { return r.prefix() + dataCentre + "/" }

// key returns the key of a host's record.
func (r *Record) key(dataCentre, host string) string { return r.dataCentrePrefix(dataCentre) + host }

// Write writes the record under a new lease, and retries until the store accepts it or ctx ends.
func (r *Record) Write(ctx context.Context) store.Lease {
	lease := store.NoLease
	r.config.Health.UntilAnswered(ctx, func() (err error) {
		lease, err = r.put(ctx)
		return err
	})
	return lease
}

// KeepAlive renews the record until ctx ends. If the lease has expired, as after an outage of the store, it immediately
// writes the record under a new one.
func (r *Record) KeepAlive(ctx context.Context, lease store.Lease) {
	for wait.For(ctx, renewInterval) {
		var leaseExpired bool
		var requestedAt time.Time
		r.config.Health.Retry(ctx, func() error {
			requestedAt = time.Now()
			err := r.config.Store.Renew(ctx, lease)
			leaseExpired = errors.Is(err, store.ErrNoLease)
			if leaseExpired {
				return nil
			}
			return err
		})
		if leaseExpired {
			lease = r.Write(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if !leaseExpired {
			r.confirmedAt.Store(&requestedAt)
		}
		r.config.Health.RecordSuccess()
	}
}

// Update writes the record as it is now, under its lease. Before the first write it does nothing.
func (r *Record) Update(ctx context.Context) error {
	lease := store.Lease(r.lease.Load())
	if lease == store.NoLease {
		return nil
	}
	change, err := r.change(lease)
	if err != nil {
		return err
	}
	_, err = r.config.Store.Commit(ctx, change)
	return err
}

// put writes the record under a new lease.
func (r *Record) put(ctx context.Context) (store.Lease, error) {
	lease, err := r.config.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return store.NoLease, err
	}
	requestedAt := time.Now()
	if err := r.commit(ctx, lease); err != nil {
		return store.NoLease, err
	}
	r.confirmedAt.Store(&requestedAt)
	if r.lease.Swap(int64(lease)) == int64(store.NoLease) {
		close(r.written)
	}
	return lease, nil
}

// change returns the change that writes the record under the lease.
func (r *Record) change(lease store.Lease) (store.Change, error) {
	self := r.config.Self()
	data, err := json.Marshal(self)
	if err != nil {
		return store.Change{}, errors.Wrap(err, "encode record")
	}
	return store.Change{Puts: []store.Put{{Key: r.key(self.DataCentre, self.Name), Data: data, Lease: lease}}}, nil
}

// commit writes the record. The first write of an incarnation finds out whether the store still has the record of an
// earlier one. If it has none and this is the first start of the fleet, this host's share is unused: an earlier
// incarnation did not renew its record for the lifetime of the lease, and there are no hosts that are gone by now.
func (r *Record) commit(ctx context.Context, lease store.Lease) error {
	change, err := r.change(lease)
	if err != nil {
		return err
	}
	if !r.hadRecord.Load() {
		change.Expect = []store.Expect{{Key: change.Puts[0].Key}}
	}
	_, err = r.config.Store.Commit(ctx, change)
	if errors.Is(err, store.ErrConflict) {
		r.hadRecord.Store(true)
		err = r.replaceEarlier(ctx, lease)
	}
	if err != nil {
		return err
	}
	if !r.hadRecord.Swap(true) && r.config.FirstStart {
		r.config.OnShareUnused(leaseTTL - shareTTL)
	}
	return nil
}

// replaceEarlier reads the record of an earlier incarnation, which names the backend servers that have left, and writes
// the record in its place.
func (r *Record) replaceEarlier(ctx context.Context, lease store.Lease) error {
	self := r.config.Self()
	item, err := r.config.Store.Get(ctx, r.key(self.DataCentre, self.Name))
	if err != nil {
		return errors.Wrap(err, "read earlier record")
	}
	if item.Data != nil {
		r.config.OnHosts(r.decodeRecords([]store.Item{item}))
	}
	change, err := r.change(lease)
	if err != nil {
		return err
	}
	_, err = r.config.Store.Commit(ctx, change)
	return err
}

// Discover reads the records of the data centre's hosts and passes them to Config.OnHosts, and those of all hosts if
// there are few or if this daemon is one of the few that do; it reports whether it has read all. It retries until the
// store answers or ctx ends.
func (r *Record) Discover(ctx context.Context) bool {
	found := r.read(ctx, r.dataCentrePrefix(r.config.Self().DataCentre))
	if found > listingDaemons && rand.N(found) >= listingDaemons {
		return false
	}
	r.ReadAll(ctx)
	return true
}

// ReadAll reads the records of all hosts and passes them to Config.OnHosts. It retries until the store answers or ctx
// ends.
func (r *Record) ReadAll(ctx context.Context) { r.read(ctx, r.prefix()) }

// read reads the records under the prefix, passes them to Config.OnHosts and returns their number. It retries until
// the store answers or ctx ends.
func (r *Record) read(ctx context.Context, prefix string) int {
	var batch store.Batch
	answered := r.config.Health.UntilAnswered(ctx, func() (err error) {
		batch, err = r.config.Store.List(ctx, prefix)
		return err
	})
	if !answered {
		return 0
	}
	hosts := r.decodeRecords(batch.Items)
	r.config.OnHosts(hosts)
	return len(hosts)
}

// decodeRecords decodes the records. It skips and logs those that cannot be decoded, and those that another writer has left
// under the key of another host.
func (r *Record) decodeRecords(items []store.Item) []member.Host {
	var hosts []member.Host
	for _, item := range items {
		var h member.Host
		if err := json.Unmarshal(item.Data, &h); err != nil {
			r.logRefused(errors.Wrapf(err, "decode record %s", item.Key))
			continue
		}
		if item.Key != r.key(h.DataCentre, h.Name) {
			r.logRefused(errors.Errorf("record %s is not of the host of its key", item.Key))
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// logRefused logs a record that is not taken.
func (r *Record) logRefused(err error) {
	event.Log(r.config.Logger, event.RecordRefused, "error", err)
}

// IsGone reports whether the store has no record of the host. It returns false if the store does not answer.
func (r *Record) IsGone(host member.Host) bool {
	ctx, cancel := context.WithTimeout(context.Background(), getTimeout)
	defer cancel()
	item, err := r.config.Store.Get(ctx, r.key(host.DataCentre, host.Name))
	if err != nil {
		r.config.Health.RecordFailure(err)
		return false
	}
	return item.Data == nil
}
