// Package record keeps the record of this host in the platform's key-value store, by which hosts that
// register themselves find each other at a start, and find out whether one is gone.
//
// A record stands under a lease: the store drops it a while after the last renewal. What it
// says travels from daemon to daemon; nobody watches the records.
//
// Hosts share the retries of a service by parts, so that each must know how many hosts there are, and must not
// use its part twice. Both come from the records: the first write of an incarnation finds out whether an
// earlier one still has its record, the hosts are counted from the records, and the part is used only
// while the store has the own record. A declared host has no record; it claims its first start by a
// key of its own.
//
// The package owns those keys, the lease, and what its calls showed of the parts. It relies on
// internal/store for the calls and on internal/storehealth for repeating them.
//
// # Usage
//
//	r := record.New(record.Config{Host: name, Store: kv, Prefix: prefix, Health: health, Self: self, Learn: learn, Unused: unused})
//	lease := r.Write(ctx)
//	r.ReadAll(ctx)
//	go r.CountHosts(ctx, reapply)
//	r.Keep(ctx, lease) // until ctx ends
package record

import (
	"context"
	"encoding/json"
	"log/slog"
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
	// leaseFor is how long the store keeps a host's record that is not renewed.
	// Source: a host that is back within half a minute was never gone.
	leaseFor = 30 * time.Second
	// renewEvery is how often the record is renewed. Source: two renewals may be
	// lost.
	renewEvery = 10 * time.Second
	// getTimeout bounds the question whether a host has a record. Not measured: as long as a call to
	// another daemon may take; the host is asked about again if it stays silent.
	getTimeout = 2 * time.Second
)

// Config says whose record is kept, and where.
type Config struct {
	// Host names this host.
	Host string
	// Store holds the records; their keys begin with Prefix.
	Store  store.Store
	Prefix string
	// FirstStart is true if the settings declare this the first start of the fleet.
	FirstStart bool
	// Health is told how the calls went.
	Health *storehealth.Health
	// Logger receives events of records that cannot be read.
	Logger *slog.Logger
	// Self returns what the record says.
	Self func() member.Host
	// OnHosts is given what the hosts' records say.
	OnHosts func([]member.Host)
	// OnShareUnused is called if nobody used this host's part of what hosts share, with for how long before
	// this start.
	OnShareUnused func(before time.Duration)
}

// Record is this host's record in the store.
type Record struct {
	config   Config
	foundOwn atomic.Bool // the store has had a record of this host before the one that is written
	counted  atomic.Bool // the store has listed the hosts once this daemon had been there for a while
	// confirmedAt is when the store last took or renewed the record; nil if it never did. Its monotonic reading
	// counts, since the wall clock may step.
	confirmedAt atomic.Pointer[time.Time]
}

// New returns the record, which is not written yet.
func New(config Config) *Record { return &Record{config: config} }

// key returns the key of a host's record; without a name it is what all begin with.
func (r *Record) key(host string) string { return r.config.Prefix + "/hosts/" + host }

// Write writes the record under a new lease, until the store takes it or ctx ends.
func (r *Record) Write(ctx context.Context) store.Lease {
	lease := store.NoLease
	r.config.Health.UntilAnswered(ctx, func() (err error) {
		lease, err = r.put(ctx)
		return err
	})
	return lease
}

// KeepAlive renews the record until ctx ends. After an outage in which the lease ended the record is
// written anew at once.
func (r *Record) KeepAlive(ctx context.Context, lease store.Lease) {
	for wait.For(ctx, renewEvery) {
		var lapsed bool
		var asked time.Time
		r.config.Health.Retry(ctx, func() error {
			asked = time.Now()
			err := r.config.Store.Renew(ctx, lease)
			lapsed = errors.Is(err, store.ErrNoLease)
			if lapsed {
				return nil
			}
			return err
		})
		if lapsed {
			lease = r.Write(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if !lapsed {
			r.confirmedAt.Store(&asked)
		}
		r.config.Health.RecordSuccess()
	}
}

// put writes the record under a new lease.
func (r *Record) put(ctx context.Context) (store.Lease, error) {
	lease, err := r.config.Store.Grant(ctx, leaseFor)
	if err != nil {
		return store.NoLease, err
	}
	self := r.config.Self()
	data, err := json.Marshal(self)
	if err != nil {
		return store.NoLease, errors.Wrap(err, "encode record")
	}
	put := store.Put{Key: r.key(self.Name), Data: data, Lease: lease}
	asked := time.Now()
	if err := r.commit(ctx, put); err != nil {
		return store.NoLease, err
	}
	r.confirmedAt.Store(&asked)
	return lease, nil
}

// commit writes the record. The first of this incarnation finds out whether the store still has that of
// an earlier one. In the first start of a fleet, if not, nobody has used what the hosts share: neither
// that incarnation, which had not been heard of for as long as records last, nor hosts that are gone by now.
func (r *Record) commit(ctx context.Context, put store.Put) error {
	change := store.Change{Puts: []store.Put{put}}
	if !r.foundOwn.Load() {
		change.Expect = []store.Expect{{Key: put.Key}}
	}
	_, err := r.config.Store.Commit(ctx, change)
	if errors.Is(err, store.ErrConflict) {
		r.foundOwn.Store(true)
		change.Expect = nil
		_, err = r.config.Store.Commit(ctx, change)
	}
	if err != nil {
		return err
	}
	if !r.foundOwn.Swap(true) && r.config.FirstStart {
		r.config.OnShareUnused(leaseFor - sharedFor)
	}
	return nil
}

// ReadAll reads every host's record, until the store answers or ctx ends.
func (r *Record) ReadAll(ctx context.Context) {
	var batch store.Batch
	answered := r.config.Health.UntilAnswered(ctx, func() (err error) {
		batch, err = r.config.Store.List(ctx, r.key(""))
		return err
	})
	if answered {
		r.config.OnHosts(decodeRecords(batch.Items, r.logRefused))
	}
}

// decodeRecords reads the records and leaves out those that cannot be read.
func decodeRecords(items []store.Item, onBad func(error)) []member.Host {
	var hosts []member.Host
	for _, item := range items {
		var h member.Host
		if err := json.Unmarshal(item.Data, &h); err != nil {
			onBad(errors.Wrapf(err, "read record %s", item.Key))
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// logRefused logs a record that cannot be read.
func (r *Record) logRefused(err error) {
	event.Log(r.config.Logger, event.RecordRefused, "error", err)
}

// IsGone reports whether the store answers that it has no record of the host.
func (r *Record) IsGone(host string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), getTimeout)
	defer cancel()
	item, err := r.config.Store.Get(ctx, r.key(host))
	if err != nil {
		r.config.Health.RecordFailure(err)
		return false
	}
	return item.Data == nil
}
