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
	// maxWatchDuration is the maximum duration of one watch call. Daemons also notify each other directly, so long
	// waits, which save calls, do not delay a quarantine.
	maxWatchDuration = 40 * time.Second
	// startDelay is how long after the start of a daemon it may follow the store because no other daemon has answered
	// it. In a large fleet whose daemons start simultaneously, the first answers take a second or two.
	startDelay = 2500 * time.Millisecond
	// watchCheckInterval is the interval at which Config.Watches is checked.
	watchCheckInterval = time.Second
	// maxPause is the maximum pause between calls to a store that does not answer. It bounds the delay of a
	// quarantine after an outage.
	maxPause = 2 * time.Second
)

// follow receives quarantines from the store while this daemon watches it. Daemons that do not watch the store are
// notified by others, and compare their state with each other.
func (s *Syncer) follow(ctx context.Context) {
	wait.For(ctx, startDelay-watchCheckInterval)
	for wait.For(ctx, watchCheckInterval) {
		if s.config.Watches() {
			s.watch(ctx)
		}
	}
}

// watch follows the store until Config.Watches returns false or ctx ends.
func (s *Syncer) watch(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go store.Follow(ctx, store.FollowConfig{
		Store:      s.config.Store,
		Prefix:     s.quarantinedPrefix(),
		Wait:       maxWatchDuration,
		MaxBackoff: maxPause,
		Apply:      s.mergeBatch,
		OnError:    s.config.OnError,
		OnAnswer:   s.config.OnAnswer,
	})
	for s.config.Watches() && wait.For(ctx, watchCheckInterval) {
	}
}

// mergeBatch merges records of the store. Records that cannot be decoded are logged and skipped. Deletions are
// ignored, since a quarantine ends by a record of a new epoch.
func (s *Syncer) mergeBatch(ctx context.Context, batch store.Batch) error {
	m := mergeMessage{stored: true}
	for _, item := range batch.Items {
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

// decode decodes a record of the store. A record that is stored under the key of another request, or that no daemon can have
// written, is refused: a daemon that writes the key replaces it.
func (s *Syncer) decode(item store.Item) (quarantine.Record, bool) {
	var record quarantine.Record
	err := json.Unmarshal(item.Data, &record)
	if err == nil {
		err = record.Check(time.Now())
	}
	if err == nil && item.Key == s.recordKey(record) {
		return record, true
	}
	event.Log(s.config.Logger, event.RecordRefused, "key", item.Key, "names", record.ID, "error", err)
	return quarantine.Record{}, false
}
