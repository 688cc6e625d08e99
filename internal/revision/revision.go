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
//	err = ledger.Follow(ctx, 0, func(r revision.Revision) { ... })
//
// A change carries an id. One whose answer was lost is looked up by its id and
// never written again blindly: publishing the same id twice is one change.
package revision

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/store"
)

const (
	// partSize is the largest part, in bytes, under the platform's limit.
	partSize = 256 << 10
	// maxParts bounds a declaration to 16 MiB.
	maxParts = 64
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

// root is the value of the root key.
type root struct {
	Revision int64      `json:"revision"`
	Changes  []Accepted `json:"changes"` // the newest last; it made the revision
}

func (r root) find(id string) (Accepted, bool) {
	for _, change := range r.Changes {
		if change.ID == id {
			return change, true
		}
	}
	return Accepted{}, false
}

func (r root) last() Accepted {
	if len(r.Changes) == 0 {
		return Accepted{}
	}
	return r.Changes[len(r.Changes)-1]
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

func (l *Ledger) rootKey() string { return l.config.Prefix + "/root" }

func (l *Ledger) partKey(hash string) string { return l.config.Prefix + "/parts/" + hash }

func (l *Ledger) readRoot(ctx context.Context) (root, int64, error) {
	value, err := l.config.Store.Get(ctx, l.rootKey())
	if err != nil {
		return root{}, 0, err
	}
	current, err := parseRoot(value)
	return current, value.Revision, err
}

func parseRoot(value store.Item) (root, error) {
	var r root
	if value.Data == nil {
		return r, nil
	}
	if err := json.Unmarshal(value.Data, &r); err != nil {
		return root{}, errors.Wrap(err, "read root")
	}
	return r, nil
}

func (l *Ledger) writeRoot(ctx context.Context, next root, index int64) (bool, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return false, errors.Wrap(err, "encode root")
	}
	return l.write(ctx, l.rootKey(), data, index)
}

// write writes a key if it still has the revision, and says whether it did.
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

// part is a piece of a declaration with the hash that names it.
type part struct {
	hash string
	data []byte
}

func split(text string) ([]part, error) {
	if len(text) > partSize*maxParts {
		return nil, result.New(result.ValueTooLarge).WithDetail("%d bytes; at most %d", len(text), partSize*maxParts)
	}
	var parts []part
	for piece := range slices.Chunk([]byte(text), partSize) {
		parts = append(parts, part{hash: contentHash(string(piece)), data: piece})
	}
	return parts, nil
}

// writeParts writes the parts that are not there yet. Since their names say
// what they hold, one that is there already is as good.
func (l *Ledger) writeParts(ctx context.Context, parts []part) error {
	for _, p := range parts {
		if err := l.writePart(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// writePart writes one part. If the answer is lost, it looks whether the part
// is there.
func (l *Ledger) writePart(ctx context.Context, p part) error {
	_, err := l.write(ctx, l.partKey(p.hash), p.data, 0)
	if err == nil || errors.Is(err, store.ErrNotDone) {
		return err
	}
	value, readErr := l.config.Store.Get(ctx, l.partKey(p.hash))
	if readErr != nil || contentHash(string(value.Data)) != p.hash {
		return errors.Join(err, readErr)
	}
	return nil
}

func (l *Ledger) readParts(ctx context.Context, hashes []string) (string, error) {
	var text strings.Builder
	for _, hash := range hashes {
		value, err := l.config.Store.Get(ctx, l.partKey(hash))
		if err != nil {
			return "", err
		}
		if contentHash(string(value.Data)) != hash {
			return "", errors.Errorf("part %s does not hold what its name says", hash)
		}
		text.Write(value.Data)
	}
	return text.String(), nil
}
