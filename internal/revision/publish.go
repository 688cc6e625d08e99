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

// Publish writes the change as the next revision. Errors are of type *result.Error.
// The caller has checked the declaration.
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
	if len(changes) > maxChanges {
		changes = changes[len(changes)-maxChanges:]
	}
	return root{Revision: accepted.Revision, Changes: changes}
}

// lookUp determines the outcome of a write of the root. A nil cause means that the
// root had changed, so the change either was written or lost the race; otherwise the
// answer was lost and the write may still be applied.
func (l *Ledger) lookUp(ctx context.Context, change Change, cause error) (Accepted, error) {
	if errors.Is(cause, store.ErrNotApplied) {
		return Accepted{}, result.Wrap(result.PlatformDown, cause)
	}
	retryBackoff := store.NewBackoff()
	for range maxLookups {
		current, _, err := l.readRoot(ctx)
		if err == nil {
			if accepted, ok := current.find(change.ID); ok {
				return sameContent(accepted, change)
			}
			if current.Revision != change.Base {
				return Accepted{}, conflict(change, current) // the root has changed, so the write can no longer succeed
			}
		}
		if !wait.For(ctx, retryBackoff.NextBackOff()) {
			break
		}
	}
	return Accepted{}, result.Wrap(result.ChangeUnknown, cause)
}

// sameContent returns the accepted change if it has the content of the requested one,
// and an error if the id was used for other content.
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
