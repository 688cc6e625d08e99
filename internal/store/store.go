// Package store defines the interface to the key-value store that users operate, the
// only place where the fleet's data is stored persistently.
//
// # Usage
//
//	value, err := s.Get(ctx, "tidelift/root")
//	revision, err := s.Commit(ctx, store.Change{
//		Expect: []store.Expect{{Key: "tidelift/root", Revision: value.Revision}},
//		Puts:   []store.Put{{Key: "tidelift/root", Data: data}},
//	})
//	batch, err := s.Watch(ctx, "tidelift/", batch.Revision, 30*time.Second)
//
// A Store is a struct of functions, implemented by package platform. A single
// revision counter covers all keys, so that revisions order all changes, also if the
// store has come back from an older copy of itself; no wall clock is used. Each call
// has a cost; a Watch counts as one call however long it waits.
package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// MaxValue is the maximum size of a value in bytes. It is half of the store's limit,
// since values are transferred in base64.
const MaxValue = 512 << 10

// Errors of calls. After any other error the outcome of a write is unknown: it may
// have been applied, or may yet be applied if its condition holds.
var (
	// ErrNotApplied means that the call had no effect and will have none.
	ErrNotApplied = errors.New("store did not apply the call")
	// ErrConflict means that an expected revision is not the current one.
	ErrConflict = errors.New("store holds a different revision")
	// ErrNoLease means that the lease has expired.
	ErrNoLease = errors.New("lease has expired")
	// ErrCompacted means that the store cannot list the changes after a
	// revision, so that the keys have to be listed again.
	ErrCompacted = errors.New("store has compacted its history")
)

// Lease identifies a lease.
type Lease int64

// NoLease is the lease of a key that does not expire.
const NoLease Lease = 0

// Item is the state of a key.
type Item struct {
	Key string
	// Data is the value, or nil if there is no such key.
	Data []byte
	// Revision is the revision of the key's last change, or 0 if there is no such key.
	Revision int64
	// Lease is the lease with which the key expires, or NoLease.
	Lease Lease
	// Deleted reports whether a watched change deleted the key.
	Deleted bool
}

// Batch is a list of items with the store's revision at that time.
type Batch struct {
	Items []Item
	// Complete reports whether the items are all keys with the prefix, as opposed to changes.
	Complete bool
	// Revision is the revision to continue watching from.
	Revision int64
}

// Expect is a condition on the key's current revision; 0 means no such key.
type Expect struct {
	Key      string
	Revision int64
}

// Put is a write of a key.
type Put struct {
	Key   string
	Data  []byte
	Lease Lease
}

// Change is a set of writes and deletions that is applied atomically if all of its expectations
// hold.
type Change struct {
	Expect []Expect
	Puts   []Put
	Remove []string
}

// Store is the key-value store.
type Store struct {
	// Get returns the item of a key.
	Get func(ctx context.Context, key string) (Item, error)
	// List returns the items of all keys with the prefix. The items are not a
	// snapshot; a Watch from the batch's revision returns what changed since.
	List func(ctx context.Context, prefix string) (Batch, error)
	// Watch returns the changes of keys with the prefix after a revision, as
	// soon as there are any, or an empty batch after wait.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error)
	// Commit applies a change and returns its revision.
	Commit func(ctx context.Context, change Change) (int64, error)
	// Grant creates a lease that expires unless it is renewed within ttl.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew renews a lease.
	Renew func(ctx context.Context, lease Lease) error
}
