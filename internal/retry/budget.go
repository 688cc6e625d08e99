package retry

import (
	"math"
	"time"
)

const (
	// carriedOver is the part of their share that requests earn for the window after the one in which they
	// are sent; the rest they earn for that one. Source: budgets of different daemons spend at
	// different times of a window, so each part must be counted in the same way by all; then their
	// sum is at most the share of the better of both windows. What is carried over pays for what fails all
	// at once after a calm; the rest is there when everything has just started: in the seconds 6 to 12
	// of a day, with a half carried over, 20 to 23 of 26 hosts had no retry left of a service whose limit
	// was half used. Callers got no more of a quarter in place of a half on six days by three seeds.
	carriedOver = 0.25
	// slackPart is the part of the slack that hosts may use without a request that earned it. Source:
	// the rest is for hosts that have not been heard of, a third of those that have, and for calls
	// that were not expected.
	slackPart = 0.75
	// oneRetry is what a retry costs.
	oneRetry = 1
)

// Limit is how many retries a service may have.
type Limit struct {
	// Share is the retries as a share of the service's requests, from 0 to 1.
	Share float64
	// Slack is how many retries beyond that the service may get in a window.
	Slack float64
	// Window is the time over which both are counted, more than zero.
	Window time.Duration
	// Hosts is how many hosts share the slack; zero if they have not been counted, so that there is
	// none.
	Hosts int
}

// Budget bounds the retries of one service that one daemon answers for. It allows nothing until
// Resize.
type Budget struct {
	size           Limit
	hosts          int // the most that were ever known
	began          time.Time
	slackUnusedFor time.Duration // before the daemon began
	counted        window
	inFlight       int // retries that were taken and have not ended
}

// NewBudget returns the budget of a daemon that began then. One that starts again gets no part of the
// slack before all that it spent of it in its last incarnation is out of the window.
func NewBudget(began time.Time) *Budget { return &Budget{began: began} }

// Clear records that this host's part of the slack was not used for that long before the daemon began,
// so that it need not wait as long for it.
func (b *Budget) Clear(before time.Duration) { b.slackUnusedFor = before }

// Resize puts a new size in force. What was counted stays; if the window changes, the budget begins anew.
func (b *Budget) Resize(now time.Time, size Limit) {
	if b.size.Window != size.Window {
		b.counted = window{length: size.Window}
	}
	if b.size.Window != size.Window && b.size.Window != 0 {
		b.began, b.slackUnusedFor = now, 0
	}
	b.size = size
	b.hosts = max(b.hosts, size.Hosts)
}

// Suspend allows nothing until Resize; what was counted stays.
func (b *Budget) Suspend() { b.size = Limit{Window: b.size.Window} }

// Empty reports whether nothing was counted for two windows, and nothing is on its way.
func (b *Budget) Empty(now time.Time) bool {
	return b.inFlight == 0 && (b.counted.current(now) == nil || b.counted.empty())
}

// Earn counts a request that is sent for the first time.
func (b *Budget) Earn(now time.Time) {
	if c := b.counted.current(now); c != nil {
		c.requests++
	}
}

// Left returns how many retries may be taken.
func (b *Budget) Left(now time.Time) int {
	if b.counted.current(now) == nil {
		return 0
	}
	slack := b.slack(now)
	least := b.counted.least(func(c counts) float64 {
		earned := carriedOver*float64(c.before) + (1-carriedOver)*float64(c.since)
		return b.size.Share*earned + slack - float64(c.retries)
	})
	return max(0, int(math.Floor(least))-b.inFlight)
}

// slack is this budget's part of the slack.
func (b *Budget) slack(now time.Time) float64 {
	if b.size.Hosts == 0 || now.Before(b.began.Add(b.size.Window-b.slackUnusedFor)) {
		return 0
	}
	return slackPart * b.size.Slack / float64(b.hosts)
}

// Take takes a retry, and reports whether one was left. It must be ended.
func (b *Budget) Take(now time.Time) bool {
	if b.Left(now) < oneRetry {
		return false
	}
	b.inFlight++
	return true
}

// Charge takes a retry that is made whether one is left or not. It must be ended.
func (b *Budget) Charge() { b.inFlight++ }

// End ends a retry that was taken. One that was sent counts for a window from now on, since it
// arrived at the latest now; one that was not costs nothing.
func (b *Budget) End(now time.Time, sent bool) {
	b.inFlight--
	if c := b.counted.current(now); c != nil && sent {
		c.retries++
	}
}
