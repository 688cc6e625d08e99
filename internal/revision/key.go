package revision

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/store"
)

// KeyConfig describes the key under which another system keeps a whole declaration.
type KeyConfig struct {
	Store store.Store
	// Key is the key of the declaration. All keys that begin with Prefix are followed.
	Key    string
	Prefix string
	// Number returns the revision number in the value.
	Number func(data []byte) (int64, error)
	// Redact returns the value without what must not be kept or passed on, such as keys.
	Redact func(data []byte) ([]byte, error)
	// OnBatch is called with each batch of followed keys, before apply.
	OnBatch func(store.Batch)
	// OnInvalid is called for a value that cannot be read, OnError for each failed call and
	// OnAnswer for each answered one.
	OnInvalid func(error)
	OnError   func(error)
	OnAnswer  func()
}

// FollowKey calls apply with each revision of the key's value above the given one, in
// increasing order, until ctx is done. A value that cannot be read is reported and
// skipped.
func FollowKey(ctx context.Context, config KeyConfig, above int64, apply func(Revision)) {
	store.Follow(ctx, store.FollowConfig{
		Store:    config.Store,
		Prefix:   config.Prefix,
		Wait:     watchWait,
		OnError:  config.OnError,
		OnAnswer: config.OnAnswer,
		Apply: func(_ context.Context, batch store.Batch) error {
			config.OnBatch(batch)
			item, ok := lastOf(batch.Items, config.Key)
			if !ok {
				return nil
			}
			number, err := config.Number(item.Data)
			if err == nil {
				err = CheckNumber(number)
			}
			if err != nil {
				config.OnInvalid(errors.Wrapf(err, "read key %s", config.Key))
				return nil
			}
			if number > above {
				redacted, err := config.Redact(item.Data)
				if err != nil {
					config.OnInvalid(errors.Wrapf(err, "read key %s", config.Key))
					return nil
				}
				above = number
				apply(Revision{Number: number, YAML: string(redacted)})
			}
			return nil
		},
	})
}
