package revision

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/wait"
)

// Publish makes the change the next revision, or says why not with a
// *result.Error. The caller has checked the declaration.
func (l *Ledger) Publish(ctx context.Context, change Change) (Accepted, error) {
	parts, err := split(change.YAML)
	if err != nil {
		return Accepted{}, err
	}
	current, index, err := l.readRoot(ctx)
	if err != nil {
		return Accepted{}, result.Wrap(result.PlatformDown, err)
	}
	if accepted, ok := current.find(change.ID); ok {
		return sameContent(accepted, change)
	}
	if current.Revision != change.Base {
		return Accepted{}, conflict(change, current)
	}
	if err := l.writeParts(ctx, parts); err != nil {
		return Accepted{}, result.Wrap(result.PlatformDown, err)
	}
	next := l.next(current, change, parts)
	written, err := l.writeRoot(ctx, next, index)
	if err != nil {
		return l.lookUp(ctx, change, err)
	}
	if !written {
		return l.lookUp(ctx, change, nil)
	}
	return next.last(), nil
}

func (l *Ledger) next(current root, change Change, parts []part) root {
	accepted := Accepted{
		ID:       change.ID,
		Revision: current.Revision + 1,
		Author:   change.Author,
		Reason:   change.Reason,
		At:       l.config.Now().UTC(),
		Content:  contentHash(change.YAML),
	}
	for _, p := range parts {
		accepted.Parts = append(accepted.Parts, p.hash)
	}
	changes := append(slices.Clone(current.Changes), accepted)
	if len(changes) > keptChanges {
		changes = changes[len(changes)-keptChanges:]
	}
	return root{Revision: accepted.Revision, Changes: changes}
}

// lookUp finds out what became of a write. Without a cause the platform said
// that the root had moved, so the change is either there or lost the race; with
// one the answer was lost, and the write may still be on its way.
func (l *Ledger) lookUp(ctx context.Context, change Change, cause error) (Accepted, error) {
	if errors.Is(cause, store.ErrNotApplied) {
		return Accepted{}, result.Wrap(result.PlatformDown, cause)
	}
	pause := store.NewBackoff()
	for range lookups {
		current, _, err := l.readRoot(ctx)
		if err == nil {
			if accepted, ok := current.find(change.ID); ok {
				return sameContent(accepted, change)
			}
			if current.Revision != change.Base {
				return Accepted{}, conflict(change, current) // the root has moved, so the write can no longer succeed
			}
		}
		if !wait.For(ctx, pause.NextBackOff()) {
			break
		}
	}
	return Accepted{}, result.Wrap(result.ChangeUnknown, cause)
}

// sameContent returns the accepted change if it is the one that is asked for,
// and not another under the same id.
func sameContent(accepted Accepted, change Change) (Accepted, error) {
	if accepted.Content != contentHash(change.YAML) {
		return Accepted{}, result.New(result.ChangeIDReused).WithDetail(
			"%q is revision %d, made by %q (%s); choose another id", change.ID, accepted.Revision, accepted.Author, accepted.Reason)
	}
	return accepted, nil
}

func contentHash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func conflict(change Change, current root) error {
	last := current.last()
	return result.New(result.RevisionChanged).WithDetail(
		"revision %d is in force, made by %q (%s); the change was based on revision %d",
		current.Revision, last.Author, last.Reason, change.Base)
}
