package balance

import "slices"

const (
	// draws is how often a target is drawn before all are looked through. Not measured: six miss
	// once in 64 times where half of the targets may not be drawn.
	draws = 6
	// none is the place of no target.
	none = -1
)

// drawTwo returns the less loaded of two targets drawn at random.
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

// draw returns the place of a random usable target other than except, each as
// likely as its share says. It gives up after a few draws.
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

// firstUsable looks through all the targets from a random place and returns
// that of the usable one with the largest share.
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

// usable reports whether the target may be drawn: neither paused, suspected nor tried.
func usable(t *Target, since int64, tried []*Target) bool {
	return t.pausedUntil.Load() <= since && t.suspectUntil.Load() <= since && !slices.Contains(tried, t)
}
