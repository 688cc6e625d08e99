package quarantinesync

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/store"
)

// tryWithin bounds how long a request in quarantine waits to be the one that is tried once more. Source:
// two calls of the store of a few milliseconds each.
const tryWithin = 250 * time.Millisecond

// MayTry reports whether the request in quarantine may be tried once more, as far as is known here.
func (k *Syncer) MayTry(id string) bool { return k.view.Load().MayTry(time.Now(), id) }

// Try reports whether this daemon may send the request in quarantine once more. Of all daemons one may, once:
// whoever writes so into the store first. Without the store nobody may.
func (k *Syncer) Try(ctx context.Context, id string) bool {
	if !k.MayTry(id) {
		return false
	}
	record, ok := k.candidate(ctx, id)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, tryWithin)
	defer cancel()
	return k.claim(ctx, record)
}

// candidate asks the task for the record by which this host may send the request.
func (k *Syncer) candidate(ctx context.Context, id string) (quarantine.Record, bool) {
	reply := make(chan answer, 1)
	k.send(ctx, tryMessage{id: id, reply: reply})
	select {
	case c := <-reply:
		return c.record, c.ok
	case <-ctx.Done():
	case <-k.ended:
	}
	return quarantine.Record{}, false
}

// claim writes the record if the store has the request in quarantine and nobody has tried it.
func (k *Syncer) claim(ctx context.Context, record quarantine.Record) bool {
	item, err := k.config.Store.Get(ctx, k.keyOf(record))
	if err != nil {
		k.config.OnError(err)
		return false
	}
	stored, ok := k.decodeFound(item)
	if !ok {
		return false // it is not there yet, so that others cannot know who tries it
	}
	merged := quarantine.Merge(stored, record)
	if stored.Tried != "" || stored.Epoch != record.Epoch || !merged.Quarantined() {
		k.send(ctx, takeMessage{records: []quarantine.Record{stored}})
		return false
	}
	put, err := k.putOf(ctx, merged)
	if err != nil {
		return false
	}
	change := store.Change{Puts: []store.Put{put}, Expect: []store.Expect{{Key: put.Key, Revision: item.Revision}}}
	if err := k.commit(ctx, change); err != nil {
		return false // another was first, or nobody knows
	}
	k.send(ctx, takeMessage{records: []quarantine.Record{merged}})
	k.metrics.trials.Inc(1)
	event.Log(k.config.Logger, event.QuarantineTrial, "fingerprint", record.ID, "service", record.Service, "path", record.Path)
	return true
}
