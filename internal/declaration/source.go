package declaration

import (
	"context"
	"log/slog"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/storehealth"
)

// Stored reads a declaration that somebody else keeps in the store.
type Stored struct {
	// Key holds it.
	Key string
	// Number reads its revision, Hide takes out what must not be kept, and Parse reads the rest.
	Number func(data []byte) (int64, error)
	Redact func(data []byte) ([]byte, error)
	Parse  func(data []byte, s settings.Source) (fleet.Declaration, error)
}

// Source is where declarations come from.
type Source struct {
	// Follow calls the function with each revision above the one given, until ctx ends.
	Follow func(ctx context.Context, above int64, apply func(revision.Revision))
	// Parse reads a revision's text.
	Parse func(text string) (fleet.Declaration, error)
}

// FromOperators is the source where operators declare.
func FromOperators(ledger *revision.Ledger) Source {
	return Source{
		Follow: ledger.Follow,
		Parse:  func(text string) (fleet.Declaration, error) { return fleet.Parse("declaration", []byte(text)) },
	}
}

// StoreConfig says how a declaration is read that the platform keeps.
type StoreConfig struct {
	Store  store.Store
	Stored Stored
	// Settings returns the settings as they are now, for what the declaration leaves open.
	Settings func() settings.Source
	// Health is told how the calls went, Logger receives events of declarations that cannot be read.
	Health *storehealth.Health
	Logger *slog.Logger
}

// FromStore is the source where the platform declares.
func FromStore(config StoreConfig) Source {
	key := revision.KeyConfig{
		Store:    config.Store,
		Key:      config.Stored.Key,
		Number:   config.Stored.Number,
		Hide:     config.Stored.Redact,
		OnBad:    func(err error) { event.Log(config.Logger, event.DeclarationRefused, "error", err) },
		OnError:  config.Health.RecordFailure,
		OnAnswer: config.Health.RecordSuccess,
	}
	return Source{
		Follow: func(ctx context.Context, above int64, apply func(revision.Revision)) {
			revision.FollowKey(ctx, key, above, apply)
		},
		Parse: func(text string) (fleet.Declaration, error) {
			return config.Stored.Parse([]byte(text), config.Settings())
		},
	}
}
