package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/member"
)

const (
	// updateDelay is how long updates of hosts are gathered before they are told. Source: a
	// start of many hosts is told in batches, and nobody waits for the updates, since
	// whoever has not heard that a backend server is gone learns it from a refusal.
	updateDelay = 100 * time.Millisecond
	// updatesWaiting is how many updates may wait to be gathered.
	updatesWaiting = 256
)

// learn takes what another daemon or the store told of hosts, and tells it on.
func (d *daemon) learn(from string, told []member.Host) {
	if !d.registers() {
		return
	}
	updates, forbidden := d.members.merge(told)
	if len(forbidden) > 0 {
		event.Log(d.config.Logger, event.ServersRegistered, "why", "left in an earlier life", "left", forbidden, "from", from)
	}
	if len(updates) == 0 {
		return
	}
	for _, h := range updates {
		event.Log(d.config.Logger, event.HostLearned, "host", h.Name, "from", from, "life", h.Incarnation, "version", h.Version,
			"gone", h.Gone, "stopping", h.Stopping, "servers", len(h.Servers))
	}
	d.retake()
	d.tell(from, updates)
}

// update is what is to be told of hosts.
type update struct {
	hosts []member.Host
	from  string // who told it here; empty if it is of the own host
}

// tell has a few other daemons told of hosts soon.
func (d *daemon) tell(from string, hosts []member.Host) {
	select {
	case d.updates <- update{hosts: hosts, from: from}:
	default: // others ask for what they were not told
		event.Log(d.config.Logger, event.UpdatesDropped, "hosts", len(hosts))
	}
}

// tellUpdates tells other daemons of hosts until ctx ends. What comes within a
// moment is told at once; what is of the own host is told to other data centres
// too, where it is told on.
func (d *daemon) tellUpdates(ctx context.Context) {
	for {
		select {
		case first := <-d.updates:
			d.tellBatch(d.gatherUpdates(ctx, first))
		case <-ctx.Done():
			return
		}
	}
}

// updateBatch is what is told at once.
type updateBatch struct {
	hosts map[string]member.Host
	own   bool
}

// add takes updates into the batch; of one host the last counts.
func (b *updateBatch) add(n update) {
	for _, h := range n.hosts {
		b.hosts[h.Name] = h
	}
	b.own = b.own || n.from == ""
}

// gatherUpdates takes what comes within the moment.
func (d *daemon) gatherUpdates(ctx context.Context, first update) updateBatch {
	batch := updateBatch{hosts: make(map[string]member.Host)}
	batch.add(first)
	timer := time.NewTimer(updateDelay)
	defer timer.Stop()
	for {
		select {
		case next := <-d.updates:
			batch.add(next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
}

// tellBatch tells a few near daemons, and of the own host a few far ones, too.
func (d *daemon) tellBatch(batch updateBatch) {
	plan := d.plan.Load()
	if plan == nil {
		return // whoever is found later is told all
	}
	told := control.Told{Host: d.config.Settings.Name, Hosts: slices.Collect(maps.Values(batch.hosts))}
	whom := plan.Near()
	if batch.own {
		whom = append(whom, plan.OneOfEach()...)
	}
	d.peers.Tell(whom, control.MethodTold, told)
}
