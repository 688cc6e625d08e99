package balance

import "slices"

const (
	// maxDraws is the number of random draws before all targets are scanned.
	maxDraws = 6
	// none is the index of no target.
	none = -1
)

// drawTwo returns the less loaded of two targets drawn at random, or nil if none is usable.
func (p *Pool) drawTwo(targets []*Target, elapsed int64, tried []*Target) *Target {
	one := p.draw(targets, elapsed, tried, none)
	if one == none {
		one = p.firstUsable(targets, elapsed, tried)
	}
	if one == none {
		return nil
	}
	first := targets[one]
	two := p.draw(targets, elapsed, tried, one)
	if two == none || first.cost(elapsed) <= targets[two].cost(elapsed) {
		return first
	}
	return targets[two]
}

// draw returns the index of a random usable target other than except, with a probability in
// proportion to its share. It returns none after a limited number of draws.
func (p *Pool) draw(targets []*Target, elapsed int64, tried []*Target, except int) int {
	choices := len(targets)
	if except != none {
		choices--
	}
	if choices <= 0 {
		return none
	}
	for range maxDraws {
		random := p.config.Random()
		index := int(uint32(random>>32)) % choices
		if except != none && index >= except {
			index++
		}
		t := targets[index]
		if usable(t, elapsed, tried) && uint32(random%FullShare) < t.share.Load() {
			return index
		}
	}
	return none
}

// firstUsable scans all targets from a random index and returns the index of the usable one
// with the largest share.
func (p *Pool) firstUsable(targets []*Target, elapsed int64, tried []*Target) int {
	best := none
	if len(targets) == 0 {
		return best
	}
	from := int(uint32(p.config.Random()>>32)) % len(targets)
	for i := range targets {
		index := (from + i) % len(targets)
		if !usable(targets[index], elapsed, tried) {
			continue
		}
		if best == none || targets[index].share.Load() > targets[best].share.Load() {
			best = index
		}
	}
	return best
}

// usable reports whether the target may be drawn: it is not paused, suspected or tried already.
func usable(t *Target, elapsed int64, tried []*Target) bool {
	return t.pausedUntil.Load() <= elapsed && t.suspectedUntil.Load() <= elapsed && !slices.Contains(tried, t)
}
