package balance

import "slices"

const (
	// draws is the number of random draws before all targets are scanned.
	draws = 6
	// none is the index of no target.
	none = -1
)

// drawTwo returns the less loaded of two targets drawn at random, or nil if none is usable.
func (p *Pool) drawTwo(targets []*Target, since int64, tried []*Target) *Target {
	one := p.draw(targets, since, tried, none)
	if one == none {
		one = p.firstUsable(targets, since, tried)
	}
	if one == none {
		return nil
	}
	first := targets[one]
	two := p.draw(targets, since, tried, one)
	if two == none || first.cost(since) <= targets[two].cost(since) {
		return first
	}
	return targets[two]
}

// draw returns the index of a random usable target other than except, with a probability in
// proportion to its share. It returns none after a limited number of draws.
func (p *Pool) draw(targets []*Target, since int64, tried []*Target, except int) int {
	choices := len(targets)
	if except != none {
		choices--
	}
	if choices <= 0 {
		return none
	}
	for range draws {
		random := p.config.Random()
		place := int(uint32(random>>32)) % choices
		if except != none && place >= except {
			place++
		}
		t := targets[place]
		if usable(t, since, tried) && uint32(random%FullShare) < t.share.Load() {
			return place
		}
	}
	return none
}

// firstUsable scans all targets from a random index and returns the index of the usable one
// with the largest share.
func (p *Pool) firstUsable(targets []*Target, since int64, tried []*Target) int {
	best := none
	if len(targets) == 0 {
		return best
	}
	from := int(uint32(p.config.Random()>>32)) % len(targets)
	for i := range targets {
		place := (from + i) % len(targets)
		if !usable(targets[place], since, tried) {
			continue
		}
		if best == none || targets[place].share.Load() > targets[best].share.Load() {
			best = place
		}
	}
	return best
}

// usable reports whether the target may be drawn: it is not paused, suspected or tried already.
func usable(t *Target, since int64, tried []*Target) bool {
	return t.pausedUntil.Load() <= since && t.suspectUntil.Load() <= since && !slices.Contains(tried, t)
}
