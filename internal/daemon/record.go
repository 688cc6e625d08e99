package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// leaseFor is how long the store keeps a host's record that is not renewed.
	// Source: a host that is back within half a minute was never gone.
	leaseFor = 30 * time.Second
	// renewEvery is how often the record is renewed. Source: two renewals may be
	// lost.
	renewEvery = 10 * time.Second
)

// recordsPrefix starts the key of each host's record.
func (d *daemon) recordsPrefix() string { return d.config.Settings.Platform.Prefix + "/hosts/" }

// writeRecord writes this host's record under a new lease, until the store takes it.
func (d *daemon) writeRecord(ctx context.Context) store.Lease {
	lease := store.NoLease
	d.untilAnswered(ctx, func() (err error) {
		lease, err = d.putRecord(ctx)
		return err
	})
	return lease
}

// readRecords reads every host's record, until the store answers.
func (d *daemon) readRecords(ctx context.Context) {
	var batch store.Batch
	answered := d.untilAnswered(ctx, func() (err error) {
		batch, err = d.config.Store.List(ctx, d.recordsPrefix())
		return err
	})
	if answered {
		d.learn("", decodeRecords(batch.Items, d.badRecord))
	}
}

// untilAnswered retries a call to the store until it is answered, and says false if
// ctx ends before.
func (d *daemon) untilAnswered(ctx context.Context, call func() error) bool {
	pause := store.NewPause()
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			d.platformAnswered()
			return true
		}
		d.platformFailed(err)
		wait.For(ctx, pause.NextBackOff())
	}
	return false
}

// badRecord leaves a line on a record that cannot be read.
func (d *daemon) badRecord(err error) {
	event.Log(d.config.Logger, event.RecordRefused, "error", err)
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

// keepRecord writes this host's record under a lease and renews it. After an
// outage in which the lease ended it is written anew at once.
func (d *daemon) keepRecord(ctx context.Context, lease store.Lease) {
	pause := store.NewPause()
	for wait.For(ctx, renewEvery) {
		asked := time.Now()
		err := d.config.Store.Renew(ctx, lease)
		for err != nil && ctx.Err() == nil {
			if errors.Is(err, store.ErrNoLease) {
				lease = d.writeRecord(ctx)
				break
			}
			d.platformFailed(err)
			wait.For(ctx, pause.NextBackOff())
			asked = time.Now()
			err = d.config.Store.Renew(ctx, lease)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			d.recorded.Store(asked.UnixNano())
		}
		d.platformAnswered()
		pause.Reset()
	}
}

// putRecord writes the record under a new lease.
func (d *daemon) putRecord(ctx context.Context) (store.Lease, error) {
	lease, err := d.config.Store.Grant(ctx, leaseFor)
	if err != nil {
		return store.NoLease, err
	}
	self := d.members.self()
	data, err := json.Marshal(self)
	if err != nil {
		return store.NoLease, errors.Wrap(err, "encode record")
	}
	put := store.Put{Key: d.recordsPrefix() + self.Name, Data: data, Lease: lease}
	asked := time.Now()
	if err := d.commitRecord(ctx, put); err != nil {
		return store.NoLease, err
	}
	d.recorded.Store(asked.UnixNano())
	return lease, nil
}

// commitRecord writes the record. The first of this incarnation finds out whether the store still has that of
// an earlier one. In the first start of a fleet, if not, nobody has used what the hosts share: neither
// that incarnation, which had not been heard of for as long as records last, nor hosts that are gone by now.
func (d *daemon) commitRecord(ctx context.Context, put store.Put) error {
	change := store.Change{Puts: []store.Put{put}}
	if !d.followsRecord.Load() {
		change.Expect = []store.Expect{{Key: put.Key}}
	}
	_, err := d.config.Store.Commit(ctx, change)
	if errors.Is(err, store.ErrConflict) {
		d.followsRecord.Store(true)
		change.Expect = nil
		_, err = d.config.Store.Commit(ctx, change)
	}
	if err != nil {
		return err
	}
	if !d.followsRecord.Swap(true) && d.config.Settings.FirstStart {
		d.retries.Clear(leaseFor - sharedFor)
	}
	return nil
}
