package balance

import (
	"slices"
	"time"
)

// probeLasts is how long after a probe no further one is sent to the target.
const probeLasts = 300 * time.Millisecond

// Pause excludes the target from the choice until the given time.
func (p *Pool) Pause(t *Target, until time.Time) {
	t.pausedUntil.Store(p.clock(until))
}

// Suspect excludes the target from the choice until the given time, unless no other is left.
func (p *Pool) Suspect(t *Target, until time.Time) {
	t.suspectUntil.Store(p.clock(until))
}

// Trust makes a suspected target available again.
func (p *Pool) Trust(t *Target) { t.suspectUntil.Store(0) }

// Paused reports whether the target is paused.
func (p *Pool) Paused(t *Target, now time.Time) bool {
	return t.pausedUntil.Load() > p.clock(now)
}

// PickProbe claims a target of the own data centre that was suspected and is due for a probe,
// and reports whether there is one.
func (p *Pool) PickProbe(now time.Time) (*Target, bool) {
	since := p.clock(now)
	for _, t := range p.view.Load().own {
		until := t.suspectUntil.Load()
		if until == 0 || until > since || t.pausedUntil.Load() > since {
			continue
		}
		if t.suspectUntil.CompareAndSwap(until, since+int64(probeLasts)) {
			return t, true
		}
	}
	return nil, false
}

// PickSuspected chooses the least loaded target that is excluded only by suspicion, and reports
// whether there is one.
func (p *Pool) PickSuspected(now time.Time, tried []*Target) (*Target, bool) {
	since := p.clock(now)
	var best *Target
	for _, t := range p.view.Load().all {
		if t.suspectUntil.Load() <= since || t.pausedUntil.Load() > since || slices.Contains(tried, t) {
			continue
		}
		if best == nil || t.cost(since) < best.cost(since) {
			best = t
		}
	}
	return best, best != nil
}
