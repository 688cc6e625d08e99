package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/registry"
	"github.com/tideliftd/tidelift/internal/settings"
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

// registers says whether hosts and backend servers register themselves.
func (d *daemon) registers() bool {
	return d.config.Settings.Source.Declared == settings.DeclaredByPlatform
}

func (d *daemon) recordsPrefix() string { return d.config.Settings.Platform.Prefix + "/hosts/" }

// join keeps this daemon's record in the store until ctx ends, and finds the
// other daemons there. Of two that start at once the one that writes its record
// later finds the other's, since each reads after it has written. What a record
// says is told from daemon to daemon; in the store it only lets a daemon that
// knows nobody find some.
func (d *daemon) join(ctx context.Context) {
	lease := d.writeRecord(ctx)
	d.readRecords(ctx)
	d.tell("", []member.Host{d.members.self()})
	d.keepRecord(ctx, lease)
}

// writeRecord writes this host's record for the first time.
func (d *daemon) writeRecord(ctx context.Context) store.Lease {
	pause := store.NewPause()
	for ctx.Err() == nil {
		lease, err := d.putRecord(ctx)
		if err == nil {
			d.platformAnswered()
			return lease
		}
		d.platformFailed(err)
		wait.For(ctx, pause.NextBackOff())
	}
	return store.NoLease
}

// readRecords reads every host's record, until the store answers.
func (d *daemon) readRecords(ctx context.Context) {
	pause := store.NewPause()
	for ctx.Err() == nil {
		batch, err := d.config.Store.List(ctx, d.recordsPrefix())
		if err == nil {
			d.platformAnswered()
			d.learn("", decodeRecords(batch.Items, d.badRecord))
			return
		}
		d.platformFailed(err)
		wait.For(ctx, pause.NextBackOff())
	}
}

func (d *daemon) badRecord(err error) {
	event.Log(d.config.Logger, event.RecordRefused, "error", err)
}

func decodeRecords(items []store.Item, onBad func(error)) []member.Host {
	var hosts []member.Host
	for _, item := range items {
		var h member.Host
		if err := json.Unmarshal(item.Data, &h); err != nil {
			onBad(errors.Wrapf(err, "read record %s", item.Key))
			continue
		}
		h.Servers = nil // those of the moment it was written
		hosts = append(hosts, h)
	}
	return hosts
}

// keepRecord writes this host's record under a lease and renews it. After an
// outage in which the lease ended it is written anew at once.
func (d *daemon) keepRecord(ctx context.Context, lease store.Lease) {
	pause := store.NewPause()
	for wait.For(ctx, renewEvery) {
		err := d.config.Store.Renew(ctx, lease)
		for err != nil && ctx.Err() == nil {
			if errors.Is(err, store.ErrNoLease) {
				lease = d.writeRecord(ctx)
				break
			}
			d.platformFailed(err)
			wait.For(ctx, pause.NextBackOff())
			err = d.config.Store.Renew(ctx, lease)
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
	if _, err := d.config.Store.Commit(ctx, store.Change{Puts: []store.Put{put}}); err != nil {
		return store.NoLease, err
	}
	return lease, nil
}

// learn takes what another daemon or the store told of hosts, and tells it on.
func (d *daemon) learn(from string, told []member.Host) {
	news := d.members.merge(told)
	if len(news) == 0 {
		return
	}
	for _, h := range news {
		event.Log(d.config.Logger, event.HostLearned, "host", h.Name, "from", from, "life", h.Life, "version", h.Version,
			"gone", h.Gone, "stopping", h.Stopping, "servers", len(h.Servers))
	}
	d.retake()
	d.tell(from, news)
}

// tell tells a few other daemons of hosts.
func (d *daemon) tell(except string, news []member.Host) {
	plan := d.plan.Load()
	if plan == nil {
		return
	}
	told := control.Told{Host: d.config.Settings.Name, Hosts: news}
	for _, host := range plan.Notify() {
		if host.Name != except {
			go d.callPeer(d.controlOf(host), control.MethodTold, told)
		}
	}
}

// checkIns returns who takes the check-ins of this host's backend servers.
func (d *daemon) checkIns() CheckIns {
	return CheckIns{
		CheckIn: func(c registry.CheckIn) {
			if d.members.checkIn(c) {
				d.registered("check-in", c.Name, c.Sequence)
			}
		},
		Leave: func(name string) {
			if d.members.leave(name) {
				d.registered("leave", name, 0)
			}
		},
		OnError: func(err error) { event.Log(d.config.Logger, event.CheckInRefused, "error", err) },
	}
}

// registered puts a change of the own backend servers in force here, and then
// tells others of it.
func (d *daemon) registered(why, name string, sequence int64) {
	self := d.members.self()
	event.Log(d.config.Logger, event.ServersRegistered, "why", why, "backend_server", name, "sequence", sequence, "serving", self.Servers)
	d.retake()
	d.tell("", []member.Host{self})
}
