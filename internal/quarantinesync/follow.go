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
	// watchesEvery is how often Config.Watches is asked. Not measured: asking costs next to
	// nothing.
	watchesEvery = time.Second
	// longestPause bounds the pauses between calls to a store that does not answer. Source: every daemon
	// makes them; the bound for a quarantine begins seconds after the store is back.
	longestPause = 2 * time.Second
)

// follow reads from the store what is quarantined anywhere, while this daemon is one that watches it. The
// others are told, and ask each other.
func (s *Syncer) follow(ctx context.Context) {
	for wait.For(ctx, watchesEvery) {
		if s.config.Watches() {
			s.watch(ctx)
		}
	}
}

// watch follows the store while this daemon is one that watches it.
func (s *Syncer) watch(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go store.Follow(ctx, store.FollowConfig{
		Store:      s.config.Store,
		Prefix:     s.heldPrefix(),
		Wait:       watchWait,
		MaxBackoff: longestPause,
		Apply:      s.mergeItems,
		OnError:    s.config.OnError,
		OnAnswer:   s.config.OnAnswer,
	})
	for s.config.Watches() && wait.For(ctx, watchesEvery) {
	}
}

// mergeItems merges records of the store. One that cannot be read is logged and passed over, and so is one
// that was removed: a quarantine ends with a record that says so.
func (s *Syncer) mergeItems(ctx context.Context, items []store.Item) error {
	m := mergeMessage{stored: true}
	for _, item := range items {
		if item.Deleted {
			continue
		}
		if record, ok := s.decode(item); ok {
			m.records = append(m.records, record)
		}
	}
	if len(m.records) > 0 {
		s.send(ctx, m)
	}
	return nil
}

// decode reads a record of the store. One under another's key says nothing of either.
func (s *Syncer) decode(item store.Item) (quarantine.Record, bool) {
	var record quarantine.Record
	err := json.Unmarshal(item.Data, &record)
	if err == nil && item.Key == s.keyOf(record) {
		return record, true
	}
	event.Log(s.config.Logger, event.RecordRefused, "key", item.Key, "names", record.ID, "error", err)
	return quarantine.Record{}, false
}
