// Package wait waits for a duration or for the end of a context, whichever comes first.
//
// # Usage
//
//	if !wait.For(ctx, time.Second) { return }
//	if !wait.ForOrSignal(ctx, time.Second, signal) { return }
package wait

import (
	"context"
	"time"
)

// For waits for the duration, or until ctx ends. It reports whether ctx is still active.
func For(ctx context.Context, length time.Duration) bool { return ForOrSignal(ctx, length, nil) }

// ForOrSignal is like For, but also returns when it receives from signal or signal is closed.
func ForOrSignal(ctx context.Context, length time.Duration, signal <-chan struct{}) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-signal:
		return true
	}
}
