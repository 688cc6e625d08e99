// Package revision keeps the declaration's revisions in the platform.
//
// A revision is immutable parts, named by the hash of their content, and one
// root key that lists them. Only the root is changed, by compare-and-swap, so
// that a change takes effect whole or not at all and revisions only go up.
//
// # Usage
//
//	ledger := revision.New(revision.Config{Store: store, Prefix: "tidelift"})
//	accepted, err := ledger.Publish(ctx, revision.Change{ID: id, Base: 3, YAML: text})
//	ledger.Follow(ctx, 0, func(r revision.Revision) { ... })
//
// A change carries an id. One whose answer was lost is looked up by its id and
// never written again blindly: publishing the same id twice is one change.
//
// A declaration that somebody else keeps whole under one key is followed by
// FollowKey (key.go); nothing of it is written here.
package revision

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/store"
)

const (
	// keptChanges is how many changes the root remembers by id.
	keptChanges = 64
	// watchWait is how long one watch waits. Source: a change has to be in force
	// within two seconds also where the watches hear nothing of it, be it that a
	// path was cut silently or that the store lost sight of it; the several that
	// watch end their waits at different times, and the first tells the others.
	watchWait = 3 * time.Second
	// lookups is how often a lost answer is looked up before giving up.
	lookups = 4
)

// Change is what an operator asks for.
type Change struct {
	// ID names the change; the same id is one change.
	ID string
	// Base is the revision that the operator saw.
	Base int64
	// YAML is the whole declaration.
	YAML string
	// Author and Reason are recorded.
	Author, Reason string
}

// Revision is a declaration with its number.
type Revision struct {
	// Number is 1 for the first revision, 0 for none.
	Number int64
	// YAML is the whole declaration.
	YAML string
	// Accepted is the change that made it.
	Accepted Accepted
}

// Accepted records a change.
type Accepted struct {
	ID       string    `json:"id"`
	Revision int64     `json:"revision"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
	// Content is the hash of the whole declaration.
	Content string `json:"content"`
	// Parts are what the declaration is made of, in order.
	Parts []string `json:"parts"`
}

// Config says where the revisions are kept.
type Config struct {
	// Store is the platform's key-value service.
	Store store.Store
	// Prefix starts the name of every key.
	Prefix string
	// Now returns the time, for the record.
	Now func() time.Time
	// OnError is told of each failed call while following, OnAnswer of each
	// answered one. Both may be nil.
	OnError  func(error)
	OnAnswer func()
}

// Ledger publishes and follows revisions.
type Ledger struct{ config Config }

// New returns the ledger.
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

// write writes a key if it still has the revision, and reports whether it did.
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
