package declaration

import (
	"context"
	"log/slog"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/store"
)

// Stored describes a declaration that another system keeps in the store.
type Stored struct {
	// Key is the store key of the declaration. Prefix is the common prefix of the keys that the
	// other system writes, and EvacuationPrefix that of the keys that name evacuated data centres.
	Key              string
	Prefix           string
	EvacuationPrefix string
	// Number returns the revision number, Redact removes what must not be kept, and Parse
	// parses the redacted text.
	Number func(data []byte) (int64, error)
	Redact func(data []byte) ([]byte, error)
	Parse  func(data []byte, s settings.Source) (fleet.Declaration, error)
}

// Source provides declarations.
type Source struct {
	// Follow calls apply with each revision above the given one, until ctx is done.
	Follow func(ctx context.Context, above int64, apply func(revision.Revision))
	// Parse parses a revision's text.
	Parse func(text string) (fleet.Declaration, error)
}

// FromOperators returns the source of the declarations that operators publish.
func FromOperators(ledger *revision.Ledger) Source {
	return Source{
		Follow: ledger.Follow,
		Parse:  func(text string) (fleet.Declaration, error) { return fleet.Parse("declaration", []byte(text)) },
	}
}

// StoreConfig configures the source of a declaration that the platform keeps.
type StoreConfig struct {
	Store  store.Store
	Stored Stored
	// Settings returns the current settings, which supply what the declaration omits.
	Settings func() settings.Source
	// OnBatch receives every batch of keys that is read from the store.
	OnBatch func(store.Batch)
	// OnError is called for each failed call, OnAnswer for each answered one.
	OnError  func(error)
	OnAnswer func()
	// Logger receives an event for each invalid declaration.
	Logger *slog.Logger
}

// FromStore returns the source of the declaration that the platform keeps.
func FromStore(config StoreConfig) Source {
	key := revision.KeyConfig{
		Store:     config.Store,
		Key:       config.Stored.Key,
		Prefix:    config.Stored.Prefix,
		OnBatch:   config.OnBatch,
		Number:    config.Stored.Number,
		Redact:    config.Stored.Redact,
		OnInvalid: func(err error) { event.Log(config.Logger, event.DeclarationRefused, "error", err) },
		OnError:   config.OnError,
		OnAnswer:  config.OnAnswer,
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
