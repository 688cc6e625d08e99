package attempts

import (
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
)

const (
	// hedgeChecks is the number of checks for a free hedge target per slowAfter, once the request
	// is slow. A slot that becomes free is then found soon, relative to the time already lost.
	hedgeChecks = 4
	// minCheckInterval limits the cost of the checks on routes whose answers take milliseconds.
	minCheckInterval = 10 * time.Millisecond
)

// Hedging decides when and where hedges are sent alongside one attempt of a request and its earlier
// hedges: once the newest attempt is slow, if the request may run more than once and has attempts
// left, to a backend server that reserves a slot for it.
type Hedging struct {
	request   Request
	slowAfter time.Duration
	// avoid holds the backend servers to which no hedge is sent.
	avoid []*balance.Target
	// refused holds the backend servers that had no slot for a hedge. They are queried again after
	// all others.
	refused []*balance.Target
	// allRefused is set once all have refused.
	allRefused bool
}

// InFlight describes the attempts of a request that are in flight when a hedge is considered.
type InFlight struct {
	// Count is the number of attempts in flight, at least one.
	Count int
	// LastStartedAt is the time at which the newest of them started.
	LastStartedAt time.Time
	// Failed is the number of failed attempts that the history does not contain yet.
	Failed int
	// BodyConsumed is set if the request's body cannot be sent again from its start.
	BodyConsumed bool
	// Stopping is set once a planned stop has begun, after which other daemons may refuse the
	// request.
	Stopping bool
}

// NewHedging returns a Hedging for an attempt that is slow after slowAfter. Zero disables hedges.
func NewHedging(r Request, slowAfter time.Duration, h *History) Hedging {
	return Hedging{request: r, slowAfter: slowAfter, avoid: h.triedNotBusy()}
}

// FirstCheck returns the time after the start of the attempt at which a hedge is first considered,
// and false if none may be sent.
func (g *Hedging) FirstCheck() (time.Duration, bool) {
	return g.slowAfter, g.slowAfter > 0 && !g.request.NonIdempotent && !g.request.Service.NoHedges
}

// CheckInterval returns the time between two checks.
func (g *Hedging) CheckInterval() time.Duration {
	return max(g.slowAfter/hedgeChecks, minCheckInterval)
}

// Choose returns the target to send a hedge to now; its Target is nil if none is sent. The hedge of
// a subrequest waits for a slot, since subrequests take precedence.
func (g *Hedging) Choose(now time.Time, h *History, inFlight InFlight) Choice {
	if !g.mayHedge(now, h, inFlight) {
		return Choice{}
	}
	target := g.pick(now)
	return Choice{Target: target, RefuseIfBusy: !g.request.Subrequest, RefuseIfHanging: !g.allRefused}
}

// mayHedge reports whether another hedge may be sent now.
func (g *Hedging) mayHedge(now time.Time, h *History, inFlight InFlight) bool {
	if g.slowAfter == 0 || g.request.NonIdempotent || inFlight.Stopping || inFlight.BodyConsumed {
		return false
	}
	if h.Sent+inFlight.Failed+inFlight.Count >= g.request.MaxSent {
		return false // each attempt in flight may still reach a backend server
	}
	return now.Sub(inFlight.LastStartedAt) >= g.slowAfter
}

// pick returns a target that has not refused a hedge yet; once all have, any of them, including
// those that appear to hang.
func (g *Hedging) pick(now time.Time) *balance.Target {
	pool := g.request.Service.Pool
	if target, ok := pool.Pick(now, slices.Concat(g.avoid, g.refused)); ok {
		return target
	}
	g.refused = nil
	g.allRefused = true
	target, _ := pool.Pick(now, g.avoid)
	return target
}

// RecordSent records that the request is sent to the target, as its first attempt or as a hedge.
func (g *Hedging) RecordSent(target *balance.Target) { g.avoid = append(g.avoid, target) }

// RecordRefused records that the target reserved no slot for a hedge.
func (g *Hedging) RecordRefused(target *balance.Target) {
	g.avoid = slices.DeleteFunc(g.avoid, func(t *balance.Target) bool { return t == target })
	g.refused = append(g.refused, target)
}

// IsOvertaken reports whether an attempt that started at began is overdue because a later one was
// answered first. This is evidence about its backend server.
func IsOvertaken(began, winnerBegan time.Time) bool { return began.Before(winnerBegan) }
