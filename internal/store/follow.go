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
	// initialBackoff and maxBackoff bound the pauses between calls to an unavailable
	// store. They are short because its recovery has to be noticed within two seconds.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 600 * time.Millisecond
)

// FollowConfig configures Follow.
type FollowConfig struct {
	Store Store
	// Prefix selects the keys to follow.
	Prefix string
	// Wait is the maximum wait of one watch. Up to a quarter of it is jitter, so that
	// watchers do not synchronise. A silently broken connection goes unnoticed for
	// up to this long.
	Wait time.Duration
	// Apply is called with a complete batch at the start and again after the store has
	// compacted its history, and with each change. If it returns an error, the
	// items are read and passed to it again.
	Apply func(context.Context, Batch) error
	// MaxBackoff raises the maximum pause between calls to an unavailable store; zero means the
	// default, which a change of the declaration needs.
	MaxBackoff time.Duration
	// OnError is called for each failed call, OnAnswer for each answered one.
	OnError  func(error)
	OnAnswer func()
}

// Follow follows the keys until ctx is done.
func Follow(ctx context.Context, config FollowConfig) {
	retryBackoff := NewBackoff()
	retryBackoff.MaxInterval = max(retryBackoff.MaxInterval, config.MaxBackoff)
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
			wait.For(ctx, retryBackoff.NextBackOff())
			continue
		}
		config.OnAnswer()
		retryBackoff.Reset()
		after = next
	}
}

// followOnce lists the keys if after is 0, and waits for a change otherwise. It returns the
// revision to continue after.
func followOnce(ctx context.Context, config FollowConfig, after int64) (int64, error) {
	var batch Batch
	var err error
	if after == 0 {
		batch, err = config.Store.List(ctx, config.Prefix)
		batch.Complete = true
	} else {
		batch, err = config.Store.Watch(ctx, config.Prefix, after, config.Wait-rand.N(config.Wait/4))
	}
	if err != nil {
		return after, err
	}
	if err := config.Apply(ctx, batch); err != nil {
		return after, err
	}
	return max(batch.Revision, after), nil
}

// NewBackoff returns the exponential backoff between calls to an unavailable store.
func NewBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}
