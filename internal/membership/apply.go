package membership

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// minApplyPause is the minimum time between two applications of records that other daemons sent.
	minApplyPause = 100 * time.Millisecond
	// applyDivisor bounds the share of the time that is spent on applying records: the pause after an
	// application is as many times as long as it took. Its cost grows with the fleet, and in a large
	// fleet some host changes at any time.
	applyDivisor = 20
	// maxApplyPause is the maximum pause after an application. On a busy machine an application mostly
	// waits, and the time that it took does not show its cost.
	maxApplyPause = 500 * time.Millisecond
)

// scheduleApply applies the known hosts soon. It does not block.
func (m *Membership) scheduleApply() {
	select {
	case m.applyWanted <- struct{}{}:
	default: // an application is scheduled and will include the change
	}
}

// applyScheduled applies the known hosts when that is wanted, with pauses, until ctx ends.
func (m *Membership) applyScheduled(ctx context.Context) {
	for {
		select {
		case <-m.applyWanted:
		case <-ctx.Done():
			return
		}
		began := time.Now()
		m.config.Reapply()
		m.learnLog.summarize()
		wait.For(ctx, applyPause(time.Since(began)))
	}
}

// applyPause returns the pause after an application that took the given time.
func applyPause(took time.Duration) time.Duration {
	return min(max(minApplyPause, applyDivisor*took), maxApplyPause)
}
