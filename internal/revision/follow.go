package revision

import (
	"context"
	"slices"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/store"
)

// Follow calls apply with each revision above the given one, in increasing order,
// until ctx is done. It may skip revisions that were soon replaced.
func (l *Ledger) Follow(ctx context.Context, above int64, apply func(Revision)) {
	store.Follow(ctx, store.FollowConfig{
		Store:    l.config.Store,
		Prefix:   l.rootKey(),
		Wait:     watchWait,
		OnError:  l.config.OnError,
		OnAnswer: l.config.OnAnswer,
		Apply: func(ctx context.Context, batch store.Batch) error {
			next, err := l.newest(ctx, batch.Items, above)
			if err != nil || next.Number <= above {
				return err
			}
			above = next.Number
			apply(next)
			return nil
		},
	})
}

// newest reads the revision of the last root among the items. It returns the zero
// Revision if there is none above the given one.
func (l *Ledger) newest(ctx context.Context, items []store.Item, above int64) (Revision, error) {
	item, ok := lastOf(items, l.rootKey())
	if !ok {
		return Revision{}, nil
	}
	current, err := parseRoot(item)
	if err != nil || current.Revision <= above {
		return Revision{}, err
	}
	text, err := l.readParts(ctx, current.last().Parts)
	if err != nil {
		return Revision{}, err
	}
	return Revision{Number: current.Revision, YAML: text, Accepted: current.last()}, nil
}

// lastOf returns the last item of the key that was not deleted.
func lastOf(items []store.Item, key string) (store.Item, bool) {
	for _, item := range slices.Backward(items) {
		if item.Key == key && !item.Deleted {
			return item, true
		}
	}
	return store.Item{}, false
}

// History returns the most recent changes, newest first.
func (l *Ledger) History(ctx context.Context) ([]Accepted, error) {
	current, _, err := l.readRoot(ctx)
	if err != nil {
		return nil, result.Wrap(result.PlatformDown, err)
	}
	changes := slices.Clone(current.Changes)
	slices.Reverse(changes)
	return changes, nil
}

// Read returns one of the most recent revisions.
func (l *Ledger) Read(ctx context.Context, number int64) (Revision, error) {
	changes, err := l.History(ctx)
	if err != nil {
		return Revision{}, err
	}
	for _, change := range changes {
		if change.Revision != number {
			continue
		}
		text, err := l.readParts(ctx, change.Parts)
		if err != nil {
			return Revision{}, result.Wrap(result.PlatformDown, err)
		}
		return Revision{Number: number, YAML: text, Accepted: change}, nil
	}
	return Revision{}, result.New(result.NotDeclared).WithDetail("revision %d is not among the last %d", number, maxChanges)
}
