package quarantinesync

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/quarantine"
)

const (
	// singleEndDelay is the delay before a single end is written. Most requests are retried on another backend server
	// and answered within this time, and then need no write.
	singleEndDelay = 500 * time.Millisecond
	// maxBatch is the maximum number of records in one change. The store accepts 32 entries.
	maxBatch = 16
)

// dueWrite is a scheduled write of a record.
type dueWrite struct {
	notBefore time.Time
	// unlessCleared skips the write if the request is no longer suspected.
	unlessCleared bool
}

// scheduleWrite schedules the write of a change that this daemon made: immediately if it may complete or end a
// quarantine, and after singleEndDelay for a single end, which the answer of a retry clears in most cases.
func (t *task) scheduleWrite(now time.Time, before, after quarantine.Record) {
	switch {
	case after.WasQuarantined() || len(after.Ends) > 1 || len(before.Ends) > 1:
		t.due[after.ID] = dueWrite{notBefore: now}
	case after.Suspected():
		t.due[after.ID] = dueWrite{notBefore: now.Add(singleEndDelay), unlessCleared: true}
	case now.Sub(before.LastEnd()) >= singleEndDelay:
		t.due[after.ID] = dueWrite{notBefore: now} // the end may already be in the store
	default:
		delete(t.due, after.ID)
	}
}

// startWrite starts writing a batch of due records unless another batch is being written.
func (t *task) startWrite(ctx context.Context) {
	now := time.Now()
	if t.writing || now.Before(t.pausedUntil) {
		return
	}
	batch := t.takeDue(now)
	if len(batch) == 0 {
		t.resetTimer(now)
		return
	}
	t.writing = true
	go func() { t.syncer.send(ctx, t.syncer.writeBatch(ctx, batch)) }()
}

// takeDue removes and returns a batch of due records.
func (t *task) takeDue(now time.Time) []quarantine.Record {
	var batch []quarantine.Record
	for id, due := range t.due {
		if now.Before(due.notBefore) {
			continue
		}
		if len(batch) == maxBatch {
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

// resetTimer sets the timer to the next due write.
func (t *task) resetTimer(now time.Time) {
	wait := time.Duration(-1)
	for _, due := range t.due {
		if left := max(0, due.notBefore.Sub(now)); wait < 0 || left < wait {
			wait = left
		}
	}
	if wait >= 0 {
		t.timer.Reset(wait)
	}
}

// recordWritten merges the records that were written and reschedules those that failed.
func (t *task) recordWritten(now time.Time, m writtenMessage) {
	t.writing = false
	t.merge(now, mergeMessage{records: m.stored})
	for _, id := range m.failed {
		t.due[id] = dueWrite{notBefore: now}
	}
	if len(m.failed) == 0 {
		t.pause.Reset()
		return
	}
	t.syncer.metrics.failedWrites.Inc(int64(len(m.failed)))
	pause := t.pause.NextBackOff()
	t.pausedUntil = time.Now().Add(pause)
	t.timer.Reset(pause)
}
