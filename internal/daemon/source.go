package daemon

import (
	"context"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/settings"
)

// source is where the declaration comes from.
type source struct {
	// follow calls the function with each revision above the one given.
	follow func(ctx context.Context, above int64, take func(revision.Revision))
	parse  func(text string) (fleet.Declaration, error)
}

// newSource returns the source that the settings name.
func (d *daemon) newSource() source {
	if d.config.Settings.Source.Declared == settings.DeclaredByOperators {
		return source{
			follow: d.ledger.Follow,
			parse:  func(text string) (fleet.Declaration, error) { return fleet.Parse("declaration", []byte(text)) },
		}
	}
	declaration := d.config.StoredDeclaration
	config := revision.KeyConfig{
		Store:    d.config.Store,
		Key:      declaration.Key,
		Number:   declaration.Number,
		Hide:     declaration.Hide,
		OnBad:    func(err error) { event.Log(d.config.Logger, event.DeclarationRefused, "error", err) },
		OnError:  d.health.Failed,
		OnAnswer: d.health.Answered,
	}
	return source{
		follow: func(ctx context.Context, above int64, take func(revision.Revision)) {
			revision.FollowKey(ctx, config, above, take)
		},
		parse: func(text string) (fleet.Declaration, error) {
			return declaration.Parse([]byte(text), d.live.Load().Source)
		},
	}
}
