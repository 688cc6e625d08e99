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

// updateDelay is how long updates of hosts are collected before they are sent, so
// that the start of many hosts is sent in batches. The delay is harmless: a daemon
// that still selects a backend server that is gone receives a refusal.
const updateDelay = 100 * time.Millisecond

// Learn merges the host records received from another daemon or the store, applies
// the changes and passes them on.
func (m *Membership) Learn(from string, received []member.Host) {
	if !m.config.Registers {
		return
	}
	updates, restored := m.known.merge(m.checked(from, received))
	if len(restored) > 0 {
		event.Log(m.config.Logger, event.ServersRegistered, "why", "left in an earlier life", "left", restored, "from", from)
	}
	if len(updates) == 0 {
		return
	}
	m.learnLog.record(time.Now(), from, updates)
	m.scheduleApply()
	m.enqueue(from, updates)
}

// checked returns the records that a daemon can have written, and logs the others.
func (m *Membership) checked(from string, received []member.Host) []member.Host {
	var valid []member.Host
	for _, h := range received {
		if err := h.Check(); err != nil {
			event.Log(m.config.Logger, event.RecordRefused, "from", from, "error", err)
			continue
		}
		valid = append(valid, h)
	}
	return valid
}

// update holds host records to send to other daemons.
type update struct {
	hosts  []member.Host
	sender string // sending daemon; empty if the update originates here
}

// enqueue queues host records for a few other daemons. It does not block.
func (m *Membership) enqueue(sender string, hosts []member.Host) {
	select {
	case m.updates <- update{hosts: hosts, sender: sender}:
	default: // others obtain dropped updates by exchange
		event.Log(m.config.Logger, event.UpdatesDropped, "hosts", len(hosts))
	}
}

// sendUpdates sends queued updates to other daemons in batches until ctx ends.
// Batches with updates that originate here also go to other data centres, which
// pass them on.
func (m *Membership) sendUpdates(ctx context.Context) {
	for {
		select {
		case first := <-m.updates:
			m.sendBatch(m.collectBatch(ctx, first))
		case <-ctx.Done():
			return
		}
	}
}

// updateBatch holds the updates that are sent together.
type updateBatch struct {
	hosts map[string]member.Host
	own   bool
}

// add adds an update to the batch, replacing earlier records of the same hosts.
func (b *updateBatch) add(u update) {
	for _, h := range u.hosts {
		b.hosts[h.Name] = h
	}
	b.own = b.own || u.sender == ""
}

// collectBatch returns the updates that arrive within updateDelay as one batch.
func (m *Membership) collectBatch(ctx context.Context, first update) updateBatch {
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

// sendBatch sends the batch to a few daemons of the local data centre and, if it
// contains updates that originate here, of other data centres.
func (m *Membership) sendBatch(batch updateBatch) {
	plan := m.config.Plan()
	if plan == nil {
		return // hosts discovered later receive all records by exchange
	}
	updates := control.HostUpdates{Host: m.config.Self.Name, Hosts: slices.Collect(maps.Values(batch.hosts))}
	targets := plan.UpdateTargets()
	if batch.own {
		targets = append(targets, plan.RemoteUpdateTargets()...)
	}
	m.config.Peers.Notify(targets, control.MethodHostUpdates, updates)
}

// HandleUpdates merges the host records sent by another daemon, and returns the
// hosts by which that daemon's digest differs.
func (m *Membership) HandleUpdates(_ context.Context, params json.RawMessage) (any, error) {
	var updates control.HostUpdates
	if err := control.Decode(params, &updates); err != nil {
		return nil, err
	}
	m.Learn(updates.Host, updates.Hosts)
	var rest control.HostUpdatesResponse
	if updates.Digest != nil {
		rest.Hosts = m.known.diff(updates.Digest)
	}
	return rest, nil
}
