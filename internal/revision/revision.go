// Package revision stores the declaration's revisions in the platform's store.
//
// A revision consists of immutable parts, named by the hash of their content, and one
// root key that lists them. Only the root is changed, by compare-and-swap, so that a
// change takes effect atomically and revision numbers only increase.
//
// # Usage
//
//	ledger := revision.New(revision.Config{Store: store, Prefix: "tidelift"})
//	accepted, err := ledger.Publish(ctx, revision.Change{ID: id, Base: 3, YAML: text})
//	ledger.Follow(ctx, 0, func(r revision.Revision) { ... })
//
// A change carries an id. If the answer to a write is lost, the change is looked up
// by its id before it is written again: publishing the same id twice is one change.
//
// FollowKey (key.go) follows a declaration that another system keeps whole under one
// key. This package never writes that key.
package revision

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/store"
)

const (
	// maxChanges is the number of most recent changes that the root lists.
	maxChanges = 64
	// watchWait is the maximum wait of one watch. It bounds how old the last answer of a watch is, and how long
	// a silently broken connection goes unnoticed. Other daemons rely on an answer each second.
	watchWait = time.Second
	// maxLookups is the number of attempts to look up a change whose answer was lost.
	maxLookups = 4
)

// Change is an operator's request for a new revision.
type Change struct {
	// ID identifies the change and makes publishing it idempotent.
	ID string
	// Base is the revision that the change is based on.
	Base int64
	// YAML is the whole declaration.
	YAML string
	// Author and Reason are recorded with the change.
	Author, Reason string
}

// maxNumber bounds the number of a revision. No later revision could replace one near the greatest number.
const maxNumber = 1 << 53

// CheckNumber returns the problem of a revision's number that comes from the store or another daemon, or nil.
func CheckNumber(number int64) error {
	if number < 0 || number > maxNumber {
		return errors.Errorf("revision is %d; want 0 to %d", number, int64(maxNumber))
	}
	return nil
}

// Revision is a declaration with its number.
type Revision struct {
	// Number is 1 for the first revision and 0 for none.
	Number int64
	// YAML is the whole declaration.
	YAML string
	// Accepted is the change that created the revision.
	Accepted Accepted
}

// Accepted is the record of a published change.
type Accepted struct {
	ID       string    `json:"id"`
	Revision int64     `json:"revision"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
	// Content is the hash of the whole declaration.
	Content string `json:"content"`
	// Parts are the hashes of the declaration's parts, in order.
	Parts []string `json:"parts"`
}

// Config configures a Ledger.
type Config struct {
	// Store is the platform's key-value store.
	Store store.Store
	// Prefix is the prefix of every key.
	Prefix string
	// Now returns the time recorded with a change; the default is time.Now.
	Now func() time.Time
	// OnError is called for each failed call while following, OnAnswer for each
	// answered one. Both may be nil.
	OnError  func(error)
	OnAnswer func()
}

// Ledger publishes and follows revisions.
type Ledger struct{ config Config }

// New returns a ledger with the configuration.
func New(config Config) *Ledger {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.OnError == nil {
		config.OnError = func(error) {}
	}
	if config.OnAnswer == nil {
		config.OnAnswer = func() {}
	}
	return &Ledger{config: config}
}

// write writes a key if it still has the expected revision, and reports whether it did.
func (l *Ledger) write(ctx context.Context, key string, data []byte, expected int64) (bool, error) {
	_, err := l.config.Store.Commit(ctx, store.Change{
		Expect: []store.Expect{{Key: key, Revision: expected}},
		Puts:   []store.Put{{Key: key, Data: data}},
	})
	if errors.Is(err, store.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}
