package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
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
	// newsDelay is how long news of hosts is gathered before it is told. Source: a
	// start of many hosts is told in batches, and nobody waits for the news, since
	// whoever has not heard that a backend server is gone learns it from a refusal.
	newsDelay = 100 * time.Millisecond
	// newsWaiting is how much news may wait to be gathered.
	newsWaiting = 256
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
	go d.tellNews(ctx)
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

// checkGone takes it that a silent host is gone if its record in the store is too.
// The store may take the record of a host that lives, and a host that lives may
// not be reached from here; both together are rare, and the host then says so. Few
// daemons look, since each look is a call.
func (d *daemon) checkGone(host fleet.Host) {
	plan := d.plan.Load()
	if !d.registers() || plan == nil || !plan.IsWatcher() {
		return
	}
	known, ok := d.members.host(host.Name)
	if !ok || known.Gone {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	record, err := d.config.Store.Get(ctx, d.recordsPrefix()+host.Name)
	if err != nil {
		d.platformFailed(err)
		return
	}
	if record.Data != nil {
		return
	}
	if gone, ok := d.members.setGone(known); ok {
		event.Log(d.config.Logger, event.HostGone, "host", host.Name, "life", known.Life, "version", known.Version)
		d.retake()
		d.tell("", []member.Host{gone})
	}
}

// learn takes what another daemon or the store told of hosts, and tells it on.
func (d *daemon) learn(from string, told []member.Host) {
	news, forbidden := d.members.merge(told)
	if len(forbidden) > 0 {
		event.Log(d.config.Logger, event.ServersRegistered, "why", "left in an earlier life", "left", forbidden, "from", from)
	}
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

// news is what is to be told of hosts.
type news struct {
	hosts []member.Host
	from  string // who told it here; empty if it is of the own host
}

// tell has a few other daemons told of hosts soon.
func (d *daemon) tell(from string, hosts []member.Host) {
	d.news <- news{hosts: hosts, from: from}
}

// tellNews tells other daemons of hosts until ctx ends. What comes within a
// moment is told at once; what is of the own host is told to other data centres
// too, where it is told on.
func (d *daemon) tellNews(ctx context.Context) {
	for {
		select {
		case first := <-d.news:
			d.tellBatch(d.gatherNews(ctx, first))
		case <-ctx.Done():
			return
		}
	}
}

// newsBatch is what is told at once.
type newsBatch struct {
	hosts map[string]member.Host
	own   bool
}

func (b *newsBatch) add(n news) {
	for _, h := range n.hosts {
		b.hosts[h.Name] = h
	}
	b.own = b.own || n.from == ""
}

// gatherNews takes what comes within the moment.
func (d *daemon) gatherNews(ctx context.Context, first news) newsBatch {
	batch := newsBatch{hosts: make(map[string]member.Host)}
	batch.add(first)
	timer := time.NewTimer(newsDelay)
	defer timer.Stop()
	for {
		select {
		case next := <-d.news:
			batch.add(next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
}

func (d *daemon) tellBatch(batch newsBatch) {
	plan := d.plan.Load()
	if plan == nil {
		return // whoever is found later is told all
	}
	told := control.Told{Host: d.config.Settings.Name, Hosts: slices.Collect(maps.Values(batch.hosts))}
	whom := plan.Near()
	if batch.own {
		whom = append(whom, plan.OneOfEach()...)
	}
	for _, host := range whom {
		go d.callPeer(d.controlOf(host), control.MethodTold, told)
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
