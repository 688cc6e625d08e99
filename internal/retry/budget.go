package retry

import (
	"math"
	"time"
)

const (
	// carryOverShare is the fraction of a request's retry share that it earns for the next window.
	// The retries of all daemons together are bounded only if all use the same value.
	carryOverShare = 0.25
	// usableSlackShare is the fraction of the slack that hosts may use. The rest is a reserve for
	// hosts that are not known yet, for unexpected calls and for the rounding of the shares.
	usableSlackShare = 0.75
	// meanRounding is the mean of the values that hosts draw for SetRounding.
	meanRounding = 0.5
	// oneRetry is the cost of a retry.
	oneRetry = 1
)

// Limit limits the retries of a service.
type Limit struct {
	// Share is the ratio of retries to the service's requests, from 0 to 1.
	Share float64
	// Slack is the number of retries beyond Share that the service may get in a window.
	Slack float64
	// Window is the time over which both are counted; it must be positive.
	Window time.Duration
	// Hosts is the number of hosts that share the slack; zero if they have not been counted, so
	// that the slack is zero.
	Hosts int
}

// Budget limits the retries of one service that one daemon accounts for. It allows none until
// SetLimit is called.
type Budget struct {
	limit          Limit
	maxHosts       int // largest number of hosts that was ever known
	startedAt      time.Time
	slackUnusedFor time.Duration // before the daemon started
	rounding       float64       // from 0 to 1; see SetRounding
	counted        window
	inFlight       int // retries that were taken and have not ended
}

// NewBudget returns the budget of a daemon that started at that time. A restarted daemon gets no
// share of the slack until everything that its previous incarnation may have used has left the
// window.
func NewBudget(startedAt time.Time) *Budget { return &Budget{startedAt: startedAt} }

// SetSlackUnusedFor records that this host's share of the slack was unused for that long before
// the daemon started, which shortens the wait for it.
func (b *Budget) SetSlackUnusedFor(before time.Duration) { b.slackUnusedFor = before }

// SetRounding sets what is added to the budget before it is rounded down to whole retries, from 0 to
// 1. In a large fleet the share of a host is less than one retry; if all hosts rounded it down, none
// could retry. Hosts should draw the value evenly, so that the sum of their rounded shares is about
// the sum of the shares.
func (b *Budget) SetRounding(rounding float64) { b.rounding = rounding }

// SetLimit sets the limit. Counts are kept unless the window changes, in which case the budget
// starts over.
func (b *Budget) SetLimit(now time.Time, limit Limit) {
	if b.limit.Window != limit.Window {
		b.counted = window{length: limit.Window}
	}
	if b.limit.Window != limit.Window && b.limit.Window != 0 {
		b.startedAt, b.slackUnusedFor = now, 0
	}
	b.limit = limit
	b.maxHosts = max(b.maxHosts, limit.Hosts)
}

// Suspend allows no retries until SetLimit is called; the counts are kept.
func (b *Budget) Suspend() { b.limit = Limit{Window: b.limit.Window} }

// Empty reports whether nothing was counted for two windows and no retry is in flight.
func (b *Budget) Empty(now time.Time) bool {
	return b.inFlight == 0 && (b.counted.current(now) == nil || b.counted.empty())
}

// CountRequest counts a request that is sent for the first time.
func (b *Budget) CountRequest(now time.Time) {
	if c := b.counted.current(now); c != nil {
		c.requests++
	}
}

// Remaining returns the number of retries that may be taken.
func (b *Budget) Remaining(now time.Time) int {
	if b.counted.current(now) == nil {
		return 0
	}
	slack := b.slack(now)
	minimum := b.counted.minimum(func(c counts) float64 {
		earned := carryOverShare*float64(c.before) + (1-carryOverShare)*float64(c.since)
		return b.limit.Share*earned + slack - float64(c.retries)
	})
	return max(0, int(math.Floor(minimum))-b.inFlight)
}

// slack returns this budget's share of the slack, with what rounding adds to it. Over all hosts
// rounding adds at most the reserve, even if each of them gains by it.
func (b *Budget) slack(now time.Time) float64 {
	if b.limit.Hosts == 0 || now.Before(b.startedAt.Add(b.limit.Window-b.slackUnusedFor)) {
		return 0
	}
	share := b.limit.Slack / float64(b.maxHosts)
	reserve := (1 - usableSlackShare) * share
	return usableSlackShare*share + b.rounding*min(1, reserve/meanRounding)
}

// Take takes a retry, and reports whether one was left. The caller must call End for it.
func (b *Budget) Take(now time.Time) bool {
	if b.Remaining(now) < oneRetry {
		return false
	}
	b.inFlight++
	return true
}

// Charge takes a retry that is made even if none is left. The caller must call End for it.
func (b *Budget) Charge() { b.inFlight++ }

// End ends a retry that was taken. One that was sent counts for a window from now on, the latest
// time at which it can have arrived; one that was not sent costs nothing.
func (b *Budget) End(now time.Time, sent bool) {
	b.inFlight--
	if c := b.counted.current(now); c != nil && sent {
		c.retries++
	}
}
