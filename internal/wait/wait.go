// Package wait waits for a time or for a context's end, whichever comes first.
//
// # Usage
//
//	if !wait.For(ctx, time.Second) { return }
//	if !wait.Woken(ctx, time.Second, wake) { return }
package wait

import (
	"context"
	"time"
)

// For waits for the length, or until ctx ends, and reports whether ctx goes on.
func For(ctx context.Context, length time.Duration) bool { return ForOrSignal(ctx, length, nil) }

// ForOrSignal waits like For, or until there is something to receive from wake or that is closed.
func ForOrSignal(ctx context.Context, length time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-wake:
		return true
	}
}
