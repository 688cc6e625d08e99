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
		wait.For(ctx, max(minApplyPause, applyDivisor*time.Since(began)))
	}
}
