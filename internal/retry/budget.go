package retry

import (
	"math"
	"time"
)

const (
	// earned is the part of a repeat's share that a request earns. Source: a repeat is paid from
	// the requests of the window before it and of the one in which it counts, so that the budgets
	// of all daemons together, whose windows end at different times, draw on two windows; half of
	// both is at most the better one.
	earned = 0.5
	// slackPart is the part of the slack that hosts may use without a request that earned it. Source:
	// the rest is for hosts that have not been heard of, as many as those that have, and for calls
	// that nobody expected.
	slackPart = 0.5
	// oneRepeat is what a repeat costs.
	oneRepeat = 1
)

// Size is how many repeats a service may have.
type Size struct {
	// Share is the repeats as a share of the service's requests, from 0 to 1.
	Share float64
	// Slack is how many repeats beyond that the service may get in a window.
	Slack float64
	// Window is the time over which both are counted, more than zero.
	Window time.Duration
	// Parts is how many hosts share the slack; zero if they have not been counted, so that there is
	// none.
	Parts int
}

// Budget bounds the repeats of one service that one daemon answers for. It allows nothing until
// Resize.
type Budget struct {
	size    Size
	parts   int // the most that were ever known
	slackAt time.Time
	counted window
	onWay   int // repeats that were taken and have not ended
}

// NewBudget returns the budget of a daemon that began then. One that starts again gets no part of the
// slack before all that it spent of it in its last life is out of the window.
func NewBudget(began time.Time) *Budget { return &Budget{slackAt: began} }

// Resize takes a new size. What was counted stays, unless the window changes.
func (b *Budget) Resize(size Size) {
	if b.size.Window != size.Window {
		b.slackAt = b.slackAt.Add(size.Window - b.size.Window)
		b.counted = window{length: size.Window}
	}
	b.size = size
	b.parts = max(b.parts, size.Parts)
}

// Earn counts a request that is sent for the first time.
func (b *Budget) Earn(now time.Time) {
	if c := b.counted.current(now); c != nil {
		c.requests++
	}
}

// Left returns how many repeats may be taken.
func (b *Budget) Left(now time.Time) int {
	if b.counted.current(now) == nil {
		return 0
	}
	slack := b.slack(now)
	least := b.counted.least(func(requests, repeats int) float64 {
		return earned*b.size.Share*float64(requests) + slack - float64(repeats)
	})
	return max(0, int(math.Floor(least))-b.onWay)
}

// slack is this budget's part of the slack.
func (b *Budget) slack(now time.Time) float64 {
	if b.parts == 0 || now.Before(b.slackAt) {
		return 0
	}
	return slackPart * b.size.Slack / float64(b.parts)
}

// Take takes a repeat, or says that none is left. It must be ended.
func (b *Budget) Take(now time.Time) bool {
	if b.Left(now) < oneRepeat {
		return false
	}
	b.onWay++
	return true
}

// Charge takes a repeat that is made whether one is left or not. It must be ended.
func (b *Budget) Charge() { b.onWay++ }

// End ends a repeat that was taken. One that was sent counts for a window from now on, since it
// arrived at the latest now; one that was not costs nothing.
func (b *Budget) End(now time.Time, sent bool) {
	b.onWay--
	if c := b.counted.current(now); c != nil && sent {
		c.repeats++
	}
}
