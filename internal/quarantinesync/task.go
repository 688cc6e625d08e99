package quarantinesync

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/store"
)

// task owns the table.
type task struct {
	syncer  *Syncer
	table   *quarantine.Table
	due     map[string]dueWrite // what is to be written
	writing bool
	resume  time.Time   // until when nothing is written, since the store did not answer
	retry   *time.Timer // fires when something is to be written
	pause   *backoff.ExponentialBackOff
	updates []quarantine.Record // to be sent to the daemons of their services
	spread  []quarantine.Record // to be sent to all daemons
}

func newTask(s *Syncer) *task {
	t := &task{
		syncer: s,
		table:  quarantine.New(),
		due:    make(map[string]dueWrite),
		retry:  time.NewTimer(time.Hour),
		pause:  store.NewBackoff(),
	}
	t.retry.Stop()
	return t
}

// run handles messages until ctx ends. The changes of all that wait together are sent and written at once.
func (t *task) run(ctx context.Context) {
	forget := time.NewTicker(forgetEvery)
	defer forget.Stop()
	defer t.retry.Stop()
	for {
		select {
		case message := <-t.syncer.messages:
			t.handle(time.Now(), message)
			t.handleWaiting()
		case <-t.retry.C:
		case <-forget.C:
			t.forget(ctx, time.Now())
		case <-ctx.Done():
			return
		}
		t.sendUpdates()
		t.startWrite(ctx)
	}
}

// handleWaiting handles the messages that wait already.
func (t *task) handleWaiting() {
	for range messagesWaiting {
		select {
		case message := <-t.syncer.messages:
			t.handle(time.Now(), message)
		default:
			return
		}
	}
}

// handle handles one message.
func (t *task) handle(now time.Time, message any) {
	switch m := message.(type) {
	case endedMessage:
		t.learn(now, m.sighting.ID, func() (quarantine.Record, bool) { return t.table.RecordEnd(now, m.sighting, m.end) })
		close(m.known)
	case answeredMessage:
		t.learn(now, m.id, func() (quarantine.Record, bool) { return t.table.RecordAnswer(now, m.id) })
	case liftMessage:
		record, ok := t.learn(now, m.id, func() (quarantine.Record, bool) { return t.table.Lift(now, m.id) })
		m.reply <- answer{record: record, ok: ok}
	case trialMessage:
		record, ok := t.table.ProposeTrial(now, m.id, t.syncer.config.Host)
		m.reply <- answer{record: record, ok: ok}
	case mergeMessage:
		t.merge(m)
	case recordsMessage:
		m.reply <- t.table.Records()
	case writtenMessage:
		t.recordWritten(m)
	}
}

// learn makes a change that this daemon finds out by itself, and has it sent and written.
func (t *task) learn(now time.Time, id string, change func() (quarantine.Record, bool)) (quarantine.Record, bool) {
	before, _ := t.table.Find(id)
	after, changed := change()
	if !changed {
		return after, false
	}
	t.writeLater(now, before, after)
	t.updates = append(t.updates, after)
	t.apply(before, after)
	return after, true
}

// apply makes a change of the table visible to lookups, logs it, and has a quarantine that begins or ends spread.
func (t *task) apply(before, after quarantine.Record) {
	t.publish()
	if after.Quarantined() != before.Quarantined() {
		t.spread = append(t.spread, after)
	}
	log := t.syncer.config.Logger
	switch {
	case after.Quarantined() && !before.Quarantined():
		event.Log(log, event.RequestQuarantined, "fingerprint", after.ID, "service", after.Service, "method", after.Method,
			"host", after.Host, "path", after.Path, "epoch", after.Epoch, "ended", after.Servers(), "last_end", after.LastEnd())
	case before.Quarantined() && !after.Quarantined():
		event.Log(log, event.QuarantineEnded, "fingerprint", after.ID, "service", after.Service, "path", after.Path,
			"epoch", after.Epoch, "why", after.Cleared)
	}
}

// publish makes lookups see the table as it is.
func (t *task) publish() {
	view := t.table.View()
	t.syncer.view.Store(view)
	t.syncer.metrics.suspected.Update(float64(view.Count(quarantine.Suspected)))
	t.syncer.metrics.quarantined.Update(float64(view.Count(quarantine.Quarantined)))
}

// merge merges records of other daemons or of the store.
func (t *task) merge(m mergeMessage) {
	for _, record := range m.records {
		before, _ := t.table.Find(record.ID)
		for _, after := range t.table.Merge([]quarantine.Record{record}) {
			t.apply(before, after)
		}
		if m.stored {
			t.writeIfMore(record)
		}
	}
}

// writeIfMore has a record written if more is known here than the store tells, such as that the request was
// answered.
func (t *task) writeIfMore(stored quarantine.Record) {
	if known, ok := t.table.Find(stored.ID); ok && !known.Same(stored) {
		t.due[stored.ID] = dueWrite{from: time.Now()}
	}
}

// forget drops what is no longer needed, here and in the store.
func (t *task) forget(ctx context.Context, now time.Time) {
	lapsed, dropped := t.table.Prune(now)
	if len(lapsed)+len(dropped) == 0 {
		return
	}
	t.publish()
	t.logDropped(dropped)
	go t.syncer.remove(ctx, lapsed)
}

// logDropped logs how many records were dropped for being too many.
func (t *task) logDropped(dropped []quarantine.Record) {
	if len(dropped) == 0 {
		return
	}
	quarantined := 0
	for _, record := range dropped {
		if record.Quarantined() {
			quarantined++
		}
	}
	event.Log(t.syncer.config.Logger, event.QuarantineDropped, "count", len(dropped), "quarantined", quarantined)
}

// sendUpdates sends what was learned here to the daemons of the services, and what is quarantined to a few of all.
func (t *task) sendUpdates() {
	byService := make(map[string][]quarantine.Record)
	for _, record := range t.updates {
		byService[record.Service] = append(byService[record.Service], record)
	}
	t.updates = nil
	if len(t.spread) > 0 {
		t.syncer.config.Gossip(t.spread)
		t.spread = nil
	}
	for service, records := range byService {
		t.syncer.config.NotifyService(service, records)
	}
}
