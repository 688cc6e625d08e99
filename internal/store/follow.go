package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// firstPause and longestPause bound the pause between calls to a store that
	// does not answer. Source: the store's return has to be noticed well within
	// two seconds.
	firstPause   = 100 * time.Millisecond
	longestPause = 600 * time.Millisecond
)

// FollowConfig says which keys are followed.
type FollowConfig struct {
	Store Store
	// Prefix is what the keys begin with.
	Prefix string
	// Wait is how long one watch waits at most; half of it is left to chance, so
	// that watchers do not keep in step. A cut is silent, so that a watch on a
	// lost path is noticed only after it.
	Wait time.Duration
	// Apply is given the items that are there, once at the start and again when
	// the store has forgotten its history, and then each change. An error makes
	// it be given them again.
	Apply func(context.Context, []Item) error
	// MaxBackoff is how long the pauses between calls to a store that does not answer become at most;
	// zero leaves it at what a change of the declaration needs.
	MaxBackoff time.Duration
	// OnError is told of each failed call, OnAnswer of each answered one.
	OnError  func(error)
	OnAnswer func()
}

// Follow follows keys until ctx ends.
func Follow(ctx context.Context, config FollowConfig) {
	pause := NewBackoff()
	pause.MaxInterval = max(pause.MaxInterval, config.MaxBackoff)
	after := int64(0)
	for ctx.Err() == nil {
		next, err := followOnce(ctx, config, after)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrCompacted) {
			after = 0
		}
		if err != nil {
			config.OnError(err)
			wait.For(ctx, pause.NextBackOff())
			continue
		}
		config.OnAnswer()
		pause.Reset()
		after = next
	}
}

// followOnce lists the keys if after is 0, and else waits for a change.
func followOnce(ctx context.Context, config FollowConfig, after int64) (int64, error) {
	var batch Batch
	var err error
	if after == 0 {
		batch, err = config.Store.List(ctx, config.Prefix)
	} else {
		batch, err = config.Store.Watch(ctx, config.Prefix, after, config.Wait/2+rand.N(config.Wait/2))
	}
	if err != nil {
		return after, err
	}
	if err := config.Apply(ctx, batch.Items); err != nil {
		return after, err
	}
	return max(batch.Revision, after), nil
}

// NewBackoff returns the growing pauses between calls to a store that does not
// answer.
func NewBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstPause
	b.MaxInterval = longestPause
	return b
}
