package attempts

import (
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
)

const (
	// hedgeLooks is how often another backend server is looked for in the time after which a
	// request is slow, from then on. Not measured: a slot that becomes free is to be found soon
	// beside the time that is lost already.
	hedgeLooks = 4
	// shortestLook bounds that, so that looking costs little where answers take milliseconds.
	// Source: a few round trips between data centres.
	shortestLook = 10 * time.Millisecond
)

// Hedging decides when hedges are sent beside one attempt of a request and its earlier hedges,
// and where: a hedge is sent once the attempt sent last is slow, if the request may run more than
// once and has attempts left, to a backend server that keeps a slot for it.
type Hedging struct {
	terms     Request
	slowAfter time.Duration
	// avoid are the backend servers where no hedge is sent.
	avoid []*balance.Target
	// refused are those that had no slot for one. They are asked again after all others.
	refused []*balance.Target
	// allRefused says that all have been asked once.
	allRefused bool
}

// InFlight is what runs of a request when a hedge is considered.
type InFlight struct {
	// Count is how many attempts run, one at least.
	Count int
	// LastStartedAt is when the one of them that was sent last began.
	LastStartedAt time.Time
	// Failed is how many have failed that the history does not have yet.
	Failed int
	// BodyConsumed says that the request's body cannot be sent again from its start.
	BodyConsumed bool
	// Stopping says that a planned stop has begun: others may not take the request any more.
	Stopping bool
}

// NewHedging returns what decides on hedges of an attempt of the request that is slow after that
// time; never if it is zero.
func NewHedging(t Request, slowAfter time.Duration, h *History) Hedging {
	return Hedging{terms: t, slowAfter: slowAfter, avoid: h.triedNotBusy()}
}

// FirstCheck returns when after the attempt's begin a hedge is first considered, and false if none
// may be sent.
func (g *Hedging) FirstCheck() (time.Duration, bool) {
	return g.slowAfter, g.slowAfter > 0 && !g.terms.NonIdempotent && !g.terms.Service.NoHedges
}

// CheckInterval returns how long after a look the next one is.
func (g *Hedging) CheckInterval() time.Duration { return max(g.slowAfter/hedgeLooks, shortestLook) }

// Choose returns where a hedge is sent now, and no target if none is. That of a subrequest waits for
// a slot, since such requests go first.
func (g *Hedging) Choose(now time.Time, h *History, running InFlight) Choice {
	if !g.mayHedge(now, h, running) {
		return Choice{}
	}
	target := g.pick(now)
	return Choice{Target: target, RefuseIfBusy: !g.terms.Subrequest, RefuseIfHanging: !g.allRefused}
}

// mayHedge reports whether the request may have another hedge now.
func (g *Hedging) mayHedge(now time.Time, h *History, running InFlight) bool {
	if g.slowAfter == 0 || g.terms.NonIdempotent || running.Stopping || running.BodyConsumed {
		return false
	}
	if h.Sent+running.Failed+running.Count >= g.terms.MaxSent {
		return false // each that runs may reach a backend server yet
	}
	return now.Sub(running.LastStartedAt) >= g.slowAfter
}

// pick chooses where a hedge may be sent: one that has not refused one yet, and once all have, any
// again, also one that seems to hang.
func (g *Hedging) pick(now time.Time) *balance.Target {
	pool := g.terms.Service.Pool
	if target, ok := pool.Pick(now, slices.Concat(g.avoid, g.refused)); ok {
		return target
	}
	g.refused = nil
	g.allRefused = true
	target, _ := pool.Pick(now, g.avoid)
	return target
}

// RecordSent records that the request is sent to the target, as a hedge or before any.
func (g *Hedging) RecordSent(target *balance.Target) { g.avoid = append(g.avoid, target) }

// RecordRefused records that the target kept no slot for a hedge.
func (g *Hedging) RecordRefused(target *balance.Target) {
	g.avoid = slices.DeleteFunc(g.avoid, func(t *balance.Target) bool { return t == target })
	g.refused = append(g.refused, target)
}

// IsOvertaken reports whether an attempt is overdue that began then, which is evidence: one that
// began later was answered first.
func IsOvertaken(began, winnerBegan time.Time) bool { return began.Before(winnerBegan) }
