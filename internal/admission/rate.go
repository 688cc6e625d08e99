package admission

import (
	"math"
	"time"
)

// rateBurst is the time over which unused grants accumulate while the rate is limited.
const rateBurst = 250 * time.Millisecond

// rateLimit limits the rate of grants; the zero value does not.
type rateLimit struct {
	perSecond float64
	available float64 // grants available at time at
	at        time.Time
}

// burst returns the maximum number of available grants, at least one.
func (l *rateLimit) burst() float64 { return math.Max(1, l.perSecond*rateBurst.Seconds()) }

// refill adds the grants that became available until now.
func (l *rateLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.at).Seconds(); elapsed > 0 {
		l.available = math.Min(l.burst(), l.available+elapsed*l.perSecond)
		l.at = now
	}
}

// change changes the limit. Grants that were available remain so, up to what the new limit lets accumulate.
func (l *rateLimit) change(now time.Time, perSecond float64) {
	if l.perSecond == perSecond {
		return
	}
	available := 1.0
	if l.perSecond > 0 {
		available = l.available
	}
	*l = rateLimit{perSecond: perSecond, at: now}
	l.available = math.Min(available, l.burst())
}

// allows reports whether a grant is available, as of the last refill.
func (l *rateLimit) allows() bool { return l.perSecond == 0 || l.available >= 1 }

// take uses a grant.
func (l *rateLimit) take() { l.available-- }

// wait returns the time until the grant at that position is available.
func (l *rateLimit) wait(position int) time.Duration {
	if l.perSecond == 0 {
		return 0
	}
	return time.Duration((float64(position) - l.available) / l.perSecond * float64(time.Second))
}

// SetRate limits the grants to a number per second, or removes the limit if it is zero. It must be
// called before each other use of the queue while there is a limit, and reports whether waiting
// requests may be granted a slot now.
func (q *Queue) SetRate(now time.Time, perSecond float64) bool {
	limited := q.rate.perSecond > 0
	q.rate.refill(now)
	q.rate.change(now, perSecond)
	return limited && q.waiting > 0
}

// Grant assigns the free slots to waiting requests after a change of the rate limit, and returns
// those that get a slot and those that can no longer meet their deadline.
func (q *Queue) Grant(now time.Time) (granted, expired []uint64) { return q.grant(now) }
