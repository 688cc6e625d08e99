package balance

import (
	"slices"
	"time"
)

// probeInterval is how long after a probe no further one is sent to the target.
const probeInterval = 300 * time.Millisecond

// Pause excludes the target from the choice until the given time.
func (p *Pool) Pause(t *Target, until time.Time) {
	t.pausedUntil.Store(p.sinceStart(until))
}

// Suspect excludes the target from the choice until the given time, unless no other is left.
func (p *Pool) Suspect(t *Target, until time.Time) {
	t.suspectedUntil.Store(p.sinceStart(until))
}

// ClearSuspicion makes a suspected target available again.
func (p *Pool) ClearSuspicion(t *Target) { t.suspectedUntil.Store(0) }

// Paused reports whether the target is paused.
func (p *Pool) Paused(t *Target, now time.Time) bool {
	return t.pausedUntil.Load() > p.sinceStart(now)
}

// PickProbe claims a target of the own data centre that was suspected and is due for a probe,
// and reports whether there is one.
func (p *Pool) PickProbe(now time.Time) (*Target, bool) {
	elapsed := p.sinceStart(now)
	for _, t := range p.view.Load().own {
		until := t.suspectedUntil.Load()
		if until == 0 || until > elapsed || t.pausedUntil.Load() > elapsed {
			continue
		}
		if t.suspectedUntil.CompareAndSwap(until, elapsed+int64(probeInterval)) {
			return t, true
		}
	}
	return nil, false
}

// PickSuspected chooses the least loaded target that is excluded only by suspicion, and reports
// whether there is one.
func (p *Pool) PickSuspected(now time.Time, tried []*Target) (*Target, bool) {
	elapsed := p.sinceStart(now)
	var best *Target
	for _, t := range p.view.Load().all {
		if t.suspectedUntil.Load() <= elapsed || t.pausedUntil.Load() > elapsed || slices.Contains(tried, t) {
			continue
		}
		if best == nil || t.cost(elapsed) < best.cost(elapsed) {
			best = t
		}
	}
	return best, best != nil
}
