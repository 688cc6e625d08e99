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
	resume  time.Time   // until then the store is left alone
	retry   *time.Timer // fires when something is to be written
	pause   *backoff.ExponentialBackOff
	updates []quarantine.Record // what is to be told to daemons of the service
	spread  []quarantine.Record // what is to be told to all
}

func newTask(k *Syncer) *task {
	t := &task{
		syncer: k,
		table:  quarantine.New(),
		due:    make(map[string]dueWrite),
		retry:  time.NewTimer(time.Hour),
		pause:  store.NewPause(),
	}
	t.retry.Stop()
	return t
}

// run takes messages until ctx ends. What several say that wait together is told and written at once.
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
		t.tell()
		t.write(ctx)
	}
}

// handleWaiting takes the messages that wait already.
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

// handle takes one message.
func (t *task) handle(now time.Time, message any) {
	switch m := message.(type) {
	case endedMessage:
		t.learn(now, m.sighting.ID, func() (quarantine.Record, bool) { return t.table.Ended(now, m.sighting, m.end) })
		close(m.known)
	case answeredMessage:
		t.learn(now, m.id, func() (quarantine.Record, bool) { return t.table.Answered(now, m.id) })
	case liftMessage:
		record, ok := t.learn(now, m.id, func() (quarantine.Record, bool) { return t.table.Lift(now, m.id) })
		m.reply <- answer{record: record, ok: ok}
	case tryMessage:
		record, ok := t.table.Try(now, m.id, t.syncer.config.Host)
		m.reply <- answer{record: record, ok: ok}
	case takeMessage:
		t.take(m)
	case recordsMessage:
		m.reply <- t.table.Records()
	case writtenMessage:
		t.written(m)
	}
}

// learn makes a change that this daemon finds out by itself, which it tells and writes.
func (t *task) learn(now time.Time, id string, change func() (quarantine.Record, bool)) (quarantine.Record, bool) {
	before, _ := t.table.Find(id)
	after, changed := change()
	if !changed {
		return after, false
	}
	t.writeLater(now, before, after)
	t.updates = append(t.updates, after)
	t.changed(before, after)
	return after, true
}

// changed makes a change known here.
func (t *task) changed(before, after quarantine.Record) {
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

// take takes records of others.
func (t *task) take(m takeMessage) {
	for _, record := range m.records {
		before, _ := t.table.Find(record.ID)
		for _, after := range t.table.Take([]quarantine.Record{record}) {
			t.changed(before, after)
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
	forgotten := t.table.Forget(now)
	if len(forgotten) == 0 {
		return
	}
	t.publish()
	go t.syncer.remove(ctx, forgotten)
}

// tell tells the daemons of the services what has changed here, and a few of all what is quarantined.
func (t *task) tell() {
	byService := make(map[string][]quarantine.Record)
	for _, record := range t.updates {
		byService[record.Service] = append(byService[record.Service], record)
	}
	t.updates = nil
	if len(t.spread) > 0 {
		t.syncer.config.Spread(t.spread)
		t.spread = nil
	}
	for service, records := range byService {
		t.syncer.config.Tell(service, records)
	}
}
