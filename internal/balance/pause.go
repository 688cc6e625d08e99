package balance

import (
	"slices"
	"time"
)

// probeLasts is how long one probe keeps others from the target. Not measured: a request takes some
// hundreds of milliseconds, and each ingress of the data centre sends probes of its own.
const probeLasts = 300 * time.Millisecond

// Pause keeps the target from being chosen until then.
func (p *Pool) Pause(t *Target, until time.Time) {
	t.pausedUntil.Store(p.clock(until))
}

// Suspect keeps the target from being chosen until then, unless there is no other.
func (p *Pool) Suspect(t *Target, until time.Time) {
	t.suspectUntil.Store(p.clock(until))
}

// ClearSuspicion lets the target be chosen again.
func (p *Pool) ClearSuspicion(t *Target) { t.suspectUntil.Store(0) }

// Paused reports whether the target is paused.
func (p *Pool) Paused(t *Target, now time.Time) bool {
	return t.pausedUntil.Load() > p.clock(now)
}

// PickProbe takes a target of the own data centre that was suspected and may be
// tried again, and reports whether there is one.
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

// PickSuspected chooses the least loaded target that is passed over for suspicion
// alone, and reports whether there is one.
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
