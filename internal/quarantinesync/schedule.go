package quarantinesync

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/quarantine"
)

const (
	// firstEndWait is the delay before a single end is written. Most requests are retried on another backend server
	// and answered within this time, and then need no write.
	firstEndWait = 500 * time.Millisecond
	// mostTogether is the maximum number of records in one change. The store accepts 32 entries.
	mostTogether = 16
)

// dueWrite is a scheduled write of a record.
type dueWrite struct {
	from time.Time
	// unlessCleared skips the write if the request is no longer suspected.
	unlessCleared bool
}

// writeLater schedules the write of a change that this daemon made: immediately if it may complete or end a
// quarantine, and after firstEndWait for a single end, which the answer of a retry clears in most cases.
func (t *task) writeLater(now time.Time, before, after quarantine.Record) {
	switch {
	case after.WasQuarantined() || len(after.Ends) > 1 || len(before.Ends) > 1:
		t.due[after.ID] = dueWrite{from: now}
	case after.Suspected():
		t.due[after.ID] = dueWrite{from: now.Add(firstEndWait), unlessCleared: true}
	case now.Sub(before.LastEnd()) >= firstEndWait:
		t.due[after.ID] = dueWrite{from: now} // the end may already be in the store
	default:
		delete(t.due, after.ID)
	}
}

// startWrite starts writing a batch of due records unless another batch is being written.
func (t *task) startWrite(ctx context.Context) {
	now := time.Now()
	if t.writing || now.Before(t.resume) {
		return
	}
	batch := t.takeDue(now)
	if len(batch) == 0 {
		t.wakeForNext(now)
		return
	}
	t.writing = true
	go func() { t.syncer.send(ctx, t.syncer.writeBatch(ctx, batch)) }()
}

// takeDue removes and returns a batch of due records.
func (t *task) takeDue(now time.Time) []quarantine.Record {
	var batch []quarantine.Record
	for id, due := range t.due {
		if now.Before(due.from) {
			continue
		}
		if len(batch) == mostTogether {
			break
		}
		delete(t.due, id)
		record, ok := t.table.Find(id)
		if ok && (record.Suspected() || !due.unlessCleared) {
			batch = append(batch, record)
		}
	}
	return batch
}

// wakeForNext wakes the task when the next write is due.
func (t *task) wakeForNext(now time.Time) {
	wait := time.Duration(-1)
	for _, due := range t.due {
		if left := max(0, due.from.Sub(now)); wait < 0 || left < wait {
			wait = left
		}
	}
	if wait >= 0 {
		t.retry.Reset(wait)
	}
}

// recordWritten merges the records that were written and reschedules those that failed.
func (t *task) recordWritten(m writtenMessage) {
	t.writing = false
	t.merge(mergeMessage{records: m.stored})
	for _, id := range m.failed {
		t.due[id] = dueWrite{from: time.Now()}
	}
	if len(m.failed) == 0 {
		t.pause.Reset()
		return
	}
	t.syncer.metrics.failedWrites.Inc(int64(len(m.failed)))
	pause := t.pause.NextBackOff()
	t.resume = time.Now().Add(pause)
	t.retry.Reset(pause)
}
