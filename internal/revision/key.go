package revision

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/store"
)

// KeyConfig says where somebody else keeps a whole declaration.
type KeyConfig struct {
	Store store.Store
	// Key is the only key that holds it.
	Key string
	// Number reads the revision's number from the value.
	Number func(data []byte) (int64, error)
	// Hide returns the value without what must not be kept or told on, such as keys.
	Hide func(data []byte) ([]byte, error)
	// OnBad is told of a value that has no number; OnError and OnAnswer of calls.
	OnBad    func(error)
	OnError  func(error)
	OnAnswer func()
}

// FollowKey calls the function with each revision above the one given that the
// key holds, in rising order, until ctx ends. A value that cannot be read
// changes nothing.
func FollowKey(ctx context.Context, config KeyConfig, above int64, take func(Revision)) {
	store.Follow(ctx, store.FollowConfig{
		Store:    config.Store,
		Prefix:   config.Key,
		Wait:     watchWait,
		OnError:  config.OnError,
		OnAnswer: config.OnAnswer,
		Apply: func(_ context.Context, items []store.Item) error {
			item, ok := lastOf(items, config.Key)
			if !ok {
				return nil
			}
			number, err := config.Number(item.Data)
			if err != nil {
				config.OnBad(errors.Wrapf(err, "read key %s", config.Key))
				return nil
			}
			if number > above {
				hidden, err := config.Hide(item.Data)
				if err != nil {
					config.OnBad(errors.Wrapf(err, "read key %s", config.Key))
					return nil
				}
				above = number
				take(Revision{Number: number, YAML: string(hidden)})
			}
			return nil
		},
	})
}
