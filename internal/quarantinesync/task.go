package quarantinesync

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/store"
)

// task owns the table and handles all messages in one goroutine.
type task struct {
	syncer      *Syncer
	table       *quarantine.Table
	due         map[string]dueWrite // scheduled writes by request ID
	writing     bool                // a batch is being written
	pausedUntil time.Time           // no batch is started before; set after a failed write
	timer       *time.Timer         // fires when a write is due
	pause       *backoff.ExponentialBackOff
	updates     []quarantine.Record // to send to the daemons of their services
	gossip      []quarantine.Record // to distribute to all daemons
}

func newTask(s *Syncer) *task {
	t := &task{
		syncer: s,
		table:  quarantine.New(),
		due:    make(map[string]dueWrite),
		timer:  time.NewTimer(time.Hour),
		pause:  store.NewBackoff(),
	}
	t.timer.Stop()
	return t
}

// run handles messages until ctx ends. The changes of all queued messages are sent and written together.
func (t *task) run(ctx context.Context) {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	defer t.timer.Stop()
	for {
		select {
		case message := <-t.syncer.messages:
			t.handle(time.Now(), message)
			t.handleQueued()
		case <-t.timer.C:
		case <-prune.C:
			t.prune(ctx, time.Now())
		case <-ctx.Done():
			return
		}
		t.sendUpdates()
		t.startWrite(ctx)
	}
}

// handleQueued handles the queued messages, at most as many as the queue holds.
func (t *task) handleQueued() {
	for range messageQueueSize {
		select {
		case message := <-t.syncer.messages:
			t.handle(time.Now(), message)
		default:
			return
		}
	}
}

func (t *task) handle(now time.Time, message any) {
	switch m := message.(type) {
	case endedMessage:
		t.recallAnswer(m.request.HeadHash, m.request.ID)
		t.applyLocal(now, m.request.ID, func() (quarantine.Record, bool) { return t.table.RecordEnd(now, m.request, m.end) })
		close(m.applied)
	case answeredMessage:
		t.applyLocal(now, m.id, func() (quarantine.Record, bool) { return t.table.RecordAnswer(now, m.id) })
	case liftMessage:
		record, ok := t.applyLocal(now, m.id, func() (quarantine.Record, bool) { return t.table.Lift(now, m.id) })
		m.reply <- taskReply{record: record, ok: ok}
	case trialMessage:
		record, ok := t.table.ProposeTrial(now, m.id, t.syncer.config.Host)
		m.reply <- taskReply{record: record, ok: ok}
	case returnedMessage:
		t.applyLocal(now, m.id, func() (quarantine.Record, bool) { return t.table.ReturnTrial(now, m.id, t.syncer.config.Host) })
	case mergeMessage:
		t.merge(now, m)
	case recordsMessage:
		m.reply <- t.table.Records()
	case writtenMessage:
		t.recordWritten(now, m)
	}
}

// applyLocal applies a change that originates on this daemon, and schedules its notification and write.
func (t *task) applyLocal(now time.Time, id string, change func() (quarantine.Record, bool)) (quarantine.Record, bool) {
	before, _ := t.table.Find(id)
	after, changed := change()
	if !changed {
		return after, false
	}
	t.scheduleWrite(now, before, after)
	t.updates = append(t.updates, after)
	t.apply(before, after)
	return after, true
}

// apply publishes a change of the table to lookups, and logs and distributes the beginning or end of a quarantine.
func (t *task) apply(before, after quarantine.Record) {
	t.publish()
	if after.Quarantined() != before.Quarantined() {
		t.gossip = append(t.gossip, after)
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

// publish makes the current state of the table visible to lookups and updates the gauges.
func (t *task) publish() {
	view := t.table.View()
	t.syncer.view.Store(view)
	t.syncer.metrics.suspected.Update(float64(view.Count(quarantine.Suspected)))
	t.syncer.metrics.quarantined.Update(float64(view.Count(quarantine.Quarantined)))
}

// merge merges records from other daemons or from the store. It skips and logs those that no daemon can have written.
func (t *task) merge(now time.Time, m mergeMessage) {
	for _, record := range m.records {
		if err := record.Check(now); err != nil {
			event.Log(t.syncer.config.Logger, event.RecordRefused, "fingerprint", record.ID, "error", err)
			continue
		}
		before, _ := t.table.Find(record.ID)
		if quarantine.Merge(before, record).Quarantined() {
			t.recallAnswer(record.HeadHash, record.ID)
		}
		for _, after := range t.table.Merge([]quarantine.Record{record}) {
			t.apply(before, after)
			if after.Refutes(record, before) {
				t.distributeRefutation(now, after)
			}
		}
		if m.stored {
			t.writeIfDifferent(record)
		}
	}
}

// recallAnswer has the table remember the last answer of the request from when it was not suspected.
func (t *task) recallAnswer(head uint64, id string) {
	if at, ok := t.syncer.answers.last(head, id); ok {
		t.table.RememberAnswer(at, id)
	}
}

// distributeRefutation writes and distributes the record of a request that other daemons have in quarantine, since they
// did not know of an answer.
func (t *task) distributeRefutation(now time.Time, record quarantine.Record) {
	t.due[record.ID] = dueWrite{notBefore: now}
	t.updates = append(t.updates, record)
	t.gossip = append(t.gossip, record)
}

// writeIfDifferent schedules a write if the local record differs from the stored one, for example because the request
// was answered.
func (t *task) writeIfDifferent(stored quarantine.Record) {
	if known, ok := t.table.Find(stored.ID); ok && !known.Same(stored) {
		t.due[stored.ID] = dueWrite{notBefore: time.Now()}
	}
}

// prune removes expired records from the table and the store, and evicts records over the limit from the table.
func (t *task) prune(ctx context.Context, now time.Time) {
	expired, evicted := t.table.Prune(now)
	if len(expired)+len(evicted) == 0 {
		return
	}
	t.publish()
	t.logEvicted(evicted)
	go t.syncer.remove(ctx, expired)
}

// logEvicted logs how many records were evicted.
func (t *task) logEvicted(evicted []quarantine.Record) {
	if len(evicted) == 0 {
		return
	}
	quarantined := 0
	for _, record := range evicted {
		if record.Quarantined() {
			quarantined++
		}
	}
	event.Log(t.syncer.config.Logger, event.QuarantineDropped, "count", len(evicted), "quarantined", quarantined)
}

// sendUpdates sends local changes to the daemons of their services, and distributes quarantines that began or ended.
func (t *task) sendUpdates() {
	if len(t.updates)+len(t.gossip) == 0 {
		return
	}
	byService := make(map[string][]quarantine.Record)
	for _, record := range t.updates {
		byService[record.Service] = append(byService[record.Service], record)
	}
	t.updates = nil
	if len(t.gossip) > 0 {
		t.syncer.config.Gossip(t.gossip)
		t.gossip = nil
	}
	for service, records := range byService {
		t.syncer.config.NotifyService(service, records)
	}
}
