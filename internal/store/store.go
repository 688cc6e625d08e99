// Package store is the seam to the key-value store that the users run, the only
// place where anything of the fleet lasts.
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
// A Store is a struct of functions; package platform fills one in. One counter
// of revisions covers every key, so that revisions order all changes; no time of
// day is used. Each call has a price, a waiting Watch as one call.
package store

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// MaxValue is the largest value, in bytes. Source: the size that the users'
// store promises, halved, since it travels in base64 there.
const MaxValue = 512 << 10

// What a call may fail with. Any other error of a write leaves its outcome
// unknown: it may have been done, or may be done later if its condition holds.
var (
	// ErrNotApplied means that the call did nothing and will do nothing.
	ErrNotApplied = errors.New("store did nothing")
	// ErrConflict means that an expected revision is not the present one.
	ErrConflict = errors.New("store holds another revision")
	// ErrNoLease means that the lease has ended.
	ErrNoLease = errors.New("lease has ended")
	// ErrCompacted means that the changes after a revision are forgotten, so
	// that the keys have to be read anew.
	ErrCompacted = errors.New("store has forgotten the history")
)

// Lease names a lease; NoLease is none.
type Lease int64

// NoLease is the lease of a key that stays.
const NoLease Lease = 0

// Item is a key at one moment.
type Item struct {
	Key string
	// Data is the value; it is nil if there is no such key.
	Data []byte
	// Revision is that of the last change of the key; 0 if there is no such key.
	Revision int64
	// Lease is what the key ends with.
	Lease Lease
	// Deleted says, of a watched change, that the key went.
	Deleted bool
}

// Batch is several items with the store's revision at that moment.
type Batch struct {
	Items []Item
	// Revision is where a Watch goes on from.
	Revision int64
}

// Expect is a condition: the key's present revision; 0 means no such key.
type Expect struct {
	Key      string
	Revision int64
}

// Put writes a key.
type Put struct {
	Key   string
	Data  []byte
	Lease Lease
}

// Change is written whole or not at all.
type Change struct {
	Expect []Expect
	Puts   []Put
	Remove []string
}

// Store is the key-value store.
type Store struct {
	// Get reads a key.
	Get func(ctx context.Context, key string) (Item, error)
	// List reads every key that begins with the prefix. The items are not a
	// snapshot; a Watch from the batch's revision tells what changed meanwhile.
	List func(ctx context.Context, prefix string) (Batch, error)
	// Watch returns the changes of keys with the prefix after a revision, as
	// soon as there is one, or none after wait.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error)
	// Commit makes a change and returns its revision.
	Commit func(ctx context.Context, change Change) (int64, error)
	// Grant makes a lease that ends unless it is renewed within ttl.
	Grant func(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew renews a lease.
	Renew func(ctx context.Context, lease Lease) error
}
