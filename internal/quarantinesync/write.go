package quarantinesync

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/store"
)

const (
	// writeWithin bounds the writing of a batch. Source: three calls of a few milliseconds each; a slow store
	// takes fifty times as long.
	writeWithin = 2 * time.Second
	// conflicts is how often a record is merged with what others wrote meanwhile. Source: the daemons of
	// a service that see the same request end backend servers within some milliseconds.
	conflicts = 6
)

// heldPrefix begins the keys of what was ever quarantined.
func (s *Syncer) heldPrefix() string { return s.config.Prefix + "/held/" }

// keyOf returns the record's key. What is only suspected has a prefix of its own that no daemon follows:
// one that sees the next end reads it.
func (s *Syncer) keyOf(r quarantine.Record) string {
	if r.WasQuarantined() {
		return s.heldPrefix() + r.ID
	}
	return s.config.Prefix + "/suspected/" + r.ID
}

// writeBatch writes the records: all as new ones, and if some are known to the store, each merged with what
// it has.
func (s *Syncer) writeBatch(ctx context.Context, batch []quarantine.Record) writtenMessage {
	ctx, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	if len(batch) > 1 && s.writeNew(ctx, batch) == nil {
		s.config.OnAnswer()
		return writtenMessage{stored: batch}
	}
	var done writtenMessage
	for _, record := range batch {
		stored, err := s.writeMerged(ctx, record)
		if err != nil {
			s.config.OnError(err)
			done.failed = append(done.failed, record.ID)
			continue
		}
		s.config.OnAnswer()
		done.stored = append(done.stored, stored)
	}
	return done
}

// writeNew writes records that the store does not know.
func (s *Syncer) writeNew(ctx context.Context, records []quarantine.Record) error {
	var change store.Change
	for _, record := range records {
		put, err := s.putOf(ctx, record)
		if err != nil {
			return err
		}
		change.Puts = append(change.Puts, put)
		change.Expect = append(change.Expect, store.Expect{Key: put.Key})
	}
	return s.commit(ctx, change)
}

// writeMerged writes a record together with what the store has of it, and returns what the store has then.
func (s *Syncer) writeMerged(ctx context.Context, record quarantine.Record) (quarantine.Record, error) {
	known := int64(0) // revision of what record was merged with
	for range conflicts {
		put, err := s.putOf(ctx, record)
		if err != nil {
			return record, err
		}
		err = s.commit(ctx, store.Change{Puts: []store.Put{put}, Expect: []store.Expect{{Key: put.Key, Revision: known}}})
		if !errors.Is(err, store.ErrConflict) {
			return record, err
		}
		item, err := s.config.Store.Get(ctx, put.Key)
		if err != nil {
			return record, err
		}
		known = item.Revision
		stored, ok := s.decodeFound(item)
		if !ok {
			continue
		}
		record = quarantine.Merge(stored, record)
		if record.Same(stored) {
			return record, nil
		}
		if s.keyOf(record) != put.Key {
			known = 0 // both together are a quarantine, which has another key
		}
	}
	return record, errors.Wrapf(store.ErrConflict, "write what is held against request %s", record.ID)
}

// decodeFound decodes the store's record, if it has one.
func (s *Syncer) decodeFound(item store.Item) (quarantine.Record, bool) {
	if item.Data == nil {
		return quarantine.Record{}, false
	}
	return s.decode(item)
}

// putOf returns the entry that writes the record. What was ever quarantined stays until it is forgotten everywhere; the
// rest ends with a lease.
func (s *Syncer) putOf(ctx context.Context, record quarantine.Record) (store.Put, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return store.Put{}, errors.Wrap(err, "encode record")
	}
	put := store.Put{Key: s.keyOf(record), Data: data}
	if record.WasQuarantined() {
		return put, nil
	}
	put.Lease, err = s.lease.get(ctx, s.config.Store)
	return put, err
}

// commit makes the change. A lease that has ended is not used again.
func (s *Syncer) commit(ctx context.Context, change store.Change) error {
	_, err := s.config.Store.Commit(ctx, change)
	if errors.Is(err, store.ErrNoLease) {
		s.lease.drop()
	}
	return err
}

// remove takes records out of the store that are forgotten. Of those that were ever quarantined one daemon of
// those that watch is enough; if none does it now, the key is read and forgotten again at the next start.
func (s *Syncer) remove(ctx context.Context, records []quarantine.Record) {
	ctx, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	for _, record := range records {
		if !record.EverQuarantined || !s.config.Watches() {
			continue
		}
		key := s.keyOf(record)
		item, err := s.config.Store.Get(ctx, key)
		if err != nil {
			s.config.OnError(err)
			return
		}
		stored, ok := s.decodeFound(item)
		if !ok || !stored.Same(record) {
			continue
		}
		change := store.Change{Remove: []string{key}, Expect: []store.Expect{{Key: key, Revision: item.Revision}}}
		if err := s.commit(ctx, change); err != nil && !errors.Is(err, store.ErrConflict) {
			s.config.OnError(err)
		}
	}
}
