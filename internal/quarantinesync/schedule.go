package quarantinesync

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/quarantine"
)

const (
	// firstEndWait is how long a request with a single end waits to be cleared before that is written. Source:
	// a request that is sent to a second backend server is answered within some hundred milliseconds;
	// the users allow three seconds until a third end is known everywhere.
	firstEndWait = 500 * time.Millisecond
	// mostTogether is how many records are written in one change. Source: the store takes 32 entries.
	mostTogether = 16
)

// dueWrite says when a record is written.
type dueWrite struct {
	from time.Time
	// unlessCleared leaves it out if nothing is held against the request any more.
	unlessCleared bool
}

// writeLater has a change written that this daemon has made: at once where it may complete a quarantine or
// end one, and a single end only if it is not cleared soon. Most are: of the requests that run on a backend
// server when it ends by itself, those that may be retried are answered by the next.
func (t *task) writeLater(now time.Time, before, after quarantine.Record) {
	switch {
	case after.WasQuarantined() || len(after.Ends) > 1 || len(before.Ends) > 1:
		t.due[after.ID] = dueWrite{from: now}
	case after.Suspected():
		t.due[after.ID] = dueWrite{from: now.Add(firstEndWait), unlessCleared: true}
	case now.Sub(before.LastEnd()) >= firstEndWait:
		t.due[after.ID] = dueWrite{from: now} // the store has that end by now
	default:
		delete(t.due, after.ID)
	}
}

// startWrite writes what is due, one batch at a time.
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

// takeDue returns and forgets what is due now.
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

// recordWritten records what became of a batch.
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
