package quarantinesync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// watchWait is how long one watch of the store waits at most. Source: a quarantine is told directly
	// too, and each wait is a call. Where every daemon watched, that and the reading at the start were 143
	// calls more on a quiet day of 31 hosts, 341 before.
	watchWait = 40 * time.Second
	// watchesEvery is how often it is looked at whether to watch the store.
	watchesEvery = time.Second
	// longestPause bounds the pauses between calls to a store that does not answer. Source: every daemon
	// makes them; the bound for a quarantine begins seconds after the store is back.
	longestPause = 2 * time.Second
)

// follow takes from the store what is quarantined anywhere, while it is this daemon's part to watch it. The
// others are told, and ask each other.
func (k *Syncer) follow(ctx context.Context) {
	for wait.For(ctx, watchesEvery) {
		if k.config.Watches() {
			k.watch(ctx)
		}
	}
}

// watch follows the store while that is this daemon's part.
func (k *Syncer) watch(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go store.Follow(ctx, store.FollowConfig{
		Store:        k.config.Store,
		Prefix:       k.heldPrefix(),
		Wait:         watchWait,
		LongestPause: longestPause,
		Take:         k.takeItems,
		OnError:      k.config.OnError,
		OnAnswer:     k.config.OnAnswer,
	})
	for k.config.Watches() && wait.For(ctx, watchesEvery) {
	}
}

// takeItems takes records that the store tells of. One that cannot be read says nothing of any request, and one
// that was removed says nothing new: a quarantine ends with a record that says so.
func (k *Syncer) takeItems(ctx context.Context, items []store.Item) error {
	m := takeMessage{stored: true}
	for _, item := range items {
		if item.Deleted {
			continue
		}
		if record, ok := k.decode(item); ok {
			m.records = append(m.records, record)
		}
	}
	if len(m.records) > 0 {
		k.send(ctx, m)
	}
	return nil
}

// decode reads a record of the store. One under another's key says nothing of either.
func (k *Syncer) decode(item store.Item) (quarantine.Record, bool) {
	var record quarantine.Record
	err := json.Unmarshal(item.Data, &record)
	if err == nil && item.Key == k.keyOf(record) {
		return record, true
	}
	event.Log(k.config.Logger, event.RecordRefused, "key", item.Key, "names", record.ID, "error", err)
	return quarantine.Record{}, false
}
