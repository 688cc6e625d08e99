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
	// writeTimeout is the timeout for writing a batch.
	writeTimeout = 2 * time.Second
	// maxWriteAttempts is the maximum number of attempts to write a record that other daemons change concurrently, as
	// the daemons of a service do when the same request ends their backend servers within milliseconds.
	maxWriteAttempts = 6
)

// quarantinedPrefix returns the key prefix of records that are or were quarantined.
func (s *Syncer) quarantinedPrefix() string { return s.config.Prefix + "/held/" }

// recordKey returns the key of a record. Records that were never quarantined have a separate prefix that no daemon
// follows; a daemon reads such a record when it writes another end of the request.
func (s *Syncer) recordKey(r quarantine.Record) string {
	if r.WasQuarantined() {
		return s.quarantinedPrefix() + r.ID
	}
	return s.config.Prefix + "/suspected/" + r.ID
}

// writeBatch writes the records in one change, on the assumption that none is in the store. If that fails, it merges
// and writes them one by one.
func (s *Syncer) writeBatch(ctx context.Context, batch []quarantine.Record) writtenMessage {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if len(batch) > 1 && s.writeNew(ctx, batch) == nil {
		s.config.OnAnswer()
		return writtenMessage{stored: batch}
	}
	var result writtenMessage
	for _, record := range batch {
		stored, err := s.writeMerged(ctx, record)
		if err != nil {
			s.config.OnError(err)
			result.failed = append(result.failed, record.ID)
			continue
		}
		s.config.OnAnswer()
		result.stored = append(result.stored, stored)
	}
	return result
}

// writeNew writes records in one change, which fails if the store has any of them.
func (s *Syncer) writeNew(ctx context.Context, records []quarantine.Record) error {
	var change store.Change
	for _, record := range records {
		put, err := s.newPut(ctx, record)
		if err != nil {
			return err
		}
		change.Puts = append(change.Puts, put)
		change.Expect = append(change.Expect, store.Expect{Key: put.Key})
	}
	return s.commit(ctx, change)
}

// writeMerged merges a record with the stored one, writes the result unless the store already has it, and returns it.
func (s *Syncer) writeMerged(ctx context.Context, record quarantine.Record) (quarantine.Record, error) {
	revision := int64(0) // revision of the stored record that was merged; zero if the key is expected to be absent
	for range maxWriteAttempts {
		put, err := s.newPut(ctx, record)
		if err != nil {
			return record, err
		}
		err = s.commit(ctx, store.Change{Puts: []store.Put{put}, Expect: []store.Expect{{Key: put.Key, Revision: revision}}})
		if !errors.Is(err, store.ErrConflict) {
			return record, err
		}
		item, err := s.config.Store.Get(ctx, put.Key)
		if err != nil {
			return record, err
		}
		revision = item.Revision
		stored, ok := s.decodeItem(item)
		if !ok {
			continue
		}
		record = quarantine.Merge(stored, record)
		if record.Same(stored) {
			return record, nil
		}
		if s.recordKey(record) != put.Key {
			revision = 0 // the merged record is quarantined, which has another key
		}
	}
	return record, errors.Wrapf(store.ErrConflict, "write record of request %s", record.ID)
}

// decodeItem decodes the stored record, and reports whether there is a valid one.
func (s *Syncer) decodeItem(item store.Item) (quarantine.Record, bool) {
	if item.Data == nil {
		return quarantine.Record{}, false
	}
	return s.decode(item)
}

// newPut returns the put that writes the record. Records that were never quarantined expire with a lease; the others
// stay until they are removed.
func (s *Syncer) newPut(ctx context.Context, record quarantine.Record) (store.Put, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return store.Put{}, errors.Wrap(err, "encode record")
	}
	put := store.Put{Key: s.recordKey(record), Data: data}
	if record.WasQuarantined() {
		return put, nil
	}
	put.Lease, err = s.lease.get(ctx, s.config.Store)
	return put, err
}

// commit commits the change. If its lease has expired, the lease is discarded, so that a retry gets a new one.
func (s *Syncer) commit(ctx context.Context, change store.Change) error {
	_, err := s.config.Store.Commit(ctx, change)
	if errors.Is(err, store.ErrNoLease) {
		s.lease.discard()
	}
	return err
}

// remove removes expired records from the store. Only daemons that watch the store remove them, and only records that
// were quarantined; the others expire with their lease. A key that is left behind is read and expires again at the next
// start of a daemon.
func (s *Syncer) remove(ctx context.Context, records []quarantine.Record) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for _, record := range records {
		if !record.EverQuarantined || !s.config.Watches() {
			continue
		}
		key := s.recordKey(record)
		item, err := s.config.Store.Get(ctx, key)
		if err != nil {
			s.config.OnError(err)
			return
		}
		stored, ok := s.decodeItem(item)
		if !ok || !stored.Same(record) {
			continue
		}
		change := store.Change{Remove: []string{key}, Expect: []store.Expect{{Key: key, Revision: item.Revision}}}
		if err := s.commit(ctx, change); err != nil && !errors.Is(err, store.ErrConflict) {
			s.config.OnError(err)
		}
	}
}
