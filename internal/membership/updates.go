package membership

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/member"
)

// updateDelay is how long updates of hosts are gathered before they are told. Source: a
// start of many hosts is told in batches, and nobody waits for the updates, since
// whoever has not heard that a backend server is gone learns it from a refusal.
const updateDelay = 100 * time.Millisecond

// Learn records what another daemon or the store told of hosts, puts it in force and tells it on.
func (m *Membership) Learn(from string, told []member.Host) {
	if !m.config.Registers {
		return
	}
	updates, forbidden := m.known.merge(told)
	if len(forbidden) > 0 {
		event.Log(m.config.Logger, event.ServersRegistered, "why", "left in an earlier life", "left", forbidden, "from", from)
	}
	if len(updates) == 0 {
		return
	}
	for _, h := range updates {
		event.Log(m.config.Logger, event.HostLearned, "host", h.Name, "from", from, "life", h.Incarnation, "version", h.Version,
			"gone", h.Gone, "stopping", h.Stopping, "servers", len(h.Servers))
	}
	m.config.Reapply()
	m.tell(from, updates)
}

// update is what is to be told of hosts.
type update struct {
	hosts []member.Host
	from  string // who told it here; empty if it is of the own host
}

// tell has a few other daemons told of hosts soon.
func (m *Membership) tell(from string, hosts []member.Host) {
	select {
	case m.updates <- update{hosts: hosts, from: from}:
	default: // others ask for what they were not told
		event.Log(m.config.Logger, event.UpdatesDropped, "hosts", len(hosts))
	}
}

// tellUpdates tells other daemons of hosts until ctx ends. What comes within a
// moment is told at once; what is of the own host is told to other data centres
// too, where it is told on.
func (m *Membership) tellUpdates(ctx context.Context) {
	for {
		select {
		case first := <-m.updates:
			m.tellBatch(m.gatherUpdates(ctx, first))
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

// add adds updates to the batch; of one host the last counts.
func (b *updateBatch) add(u update) {
	for _, h := range u.hosts {
		b.hosts[h.Name] = h
	}
	b.own = b.own || u.from == ""
}

// gatherUpdates returns what comes within updateDelay, in one batch.
func (m *Membership) gatherUpdates(ctx context.Context, first update) updateBatch {
	batch := updateBatch{hosts: make(map[string]member.Host)}
	batch.add(first)
	timer := time.NewTimer(updateDelay)
	defer timer.Stop()
	for {
		select {
		case next := <-m.updates:
			batch.add(next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
}

// tellBatch tells a few near daemons, and of the own host a few far ones, too.
func (m *Membership) tellBatch(batch updateBatch) {
	plan := m.config.Plan()
	if plan == nil {
		return // whoever is found later is told all
	}
	told := control.HostUpdates{Host: m.config.Self.Name, Hosts: slices.Collect(maps.Values(batch.hosts))}
	to := plan.UpdateTargets()
	if batch.own {
		to = append(to, plan.RemoteUpdateTargets()...)
	}
	m.config.Peers.Notify(to, control.MethodHostUpdates, told)
}

// HandleUpdates answers another daemon that tells of hosts, with what it does not know.
func (m *Membership) HandleUpdates(_ context.Context, params json.RawMessage) (any, error) {
	var told control.HostUpdates
	if err := control.Decode(params, &told); err != nil {
		return nil, err
	}
	m.Learn(told.Host, told.Hosts)
	var rest control.HostUpdatesResponse
	if told.Digest != nil {
		rest.Hosts = m.known.missing(told.Digest)
	}
	return rest, nil
}
