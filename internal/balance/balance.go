// Package balance chooses the backend server for a request.
//
// A Pool is the aggregate of one service as one daemon sees it. Choosing reads
// only atomic values, so that requests do not wait for each other; it does not
// allocate.
//
// # Usage
//
//	pool := balance.NewPool(balance.Config{DataCentre: "csepel", Random: rand.Uint64})
//	pool.Reconfigure(service, index)
//	target, ok := pool.Pick(now, tried)
//	target.Begin()
//	defer target.End()
//	pool.Report(target, load, now)
//
// The rule is power of two choices on load: of two drawn at random the less
// loaded is chosen, from the caller's own data centre first. A request spills
// over to another data centre when the one chosen has no free slot and the one
// drawn there is less loaded by SpillMargin.
//
// A target is passed over while it is paused, which is how long it said to stay
// away, and while it is suspected, unless there is no other or the request is one that
// finds out whether it is well again. It is drawn less often while its share is below
// FullShare.
//
// The choice is in balance.go, the drawing of two in draw.go, what is passed over in
// pause.go, how often a free slot is found in busy.go, and one target in target.go.
package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	// FullShare is the share of a target that gets its whole part of the work.
	FullShare = 1024
	// SpillMargin is how much less loaded a backend server of another data
	// centre must be to get a request that finds no free slot in its own. Not measured: bytes
	// between data centres are dear and round trips long, so that a small difference is no reason.
	SpillMargin = 0.25
	// loadCounts is how long a reported load counts, less and less. Source: where it counted until
	// the next report, a backend server that had returned got 4 requests in 12 s, since one with a
	// high load gets no work and so reports no other.
	loadCounts = time.Second
	// failingCounts is how long a reported share of failures counts. Not measured: in a large fleet a daemon
	// sends each backend server a request every few seconds, and a called service fails for some seconds.
	failingCounts = 10 * time.Second
)

// Config says where the choosing daemon stands.
type Config struct {
	// DataCentre is the daemon's own.
	DataCentre string
	// Random returns 64 random bits and is safe for concurrent use.
	Random func() uint64
	// Start is the moment from which the pool counts time.
	Start time.Time
}

// Pool is the backend servers of one service.
type Pool struct {
	config    Config
	busyShare atomic.Int64 // of busyUnit
	view      atomic.Pointer[view]
}

// view is what Pick reads; it does not change once stored.
type view struct {
	all   []*Target
	own   []*Target
	other []*Target
}

// NewPool returns a pool without targets.
func NewPool(config Config) *Pool {
	p := &Pool{config: config}
	p.view.Store(&view{})
	return p
}

// Reconfigure puts the service's backend servers in force. Those that were there keep
// their state.
func (p *Pool) Reconfigure(service fleet.Service, index *fleet.Index) {
	old := make(map[string]*Target)
	for _, t := range p.view.Load().all {
		old[t.Name] = t
	}
	next := &view{}
	for _, b := range service.BackendServers {
		placement, _ := index.BackendServer(b.Name)
		t, ok := old[b.Name]
		if !ok {
			t = &Target{Name: b.Name}
			t.SetShare(FullShare)
		}
		t.placement.Store(&placement)
		next.add(t, placement.Host.DataCentre == p.config.DataCentre)
	}
	p.view.Store(next)
}

// add enters a target, of the own data centre or another.
func (v *view) add(t *Target, own bool) {
	v.all = append(v.all, t)
	if own {
		v.own = append(v.own, t)
		return
	}
	v.other = append(v.other, t)
}

// clock returns the moment as the pool counts time, in nanoseconds since its start.
func (p *Pool) clock(at time.Time) int64 { return int64(at.Sub(p.config.Start)) }

// Targets returns every target in the order of the declaration.
func (p *Pool) Targets() []*Target { return p.view.Load().all }

// RecordLoad records the load that came with a target's answer.
func (p *Pool) RecordLoad(t *Target, load float64, now time.Time) {
	t.loadBits.Store(math.Float64bits(load))
	t.reported.Store(p.clock(now))
}

// RecordFailureShare records the share of its requests that failed at the target, as its sidecar said.
func (p *Pool) RecordFailureShare(t *Target, share float64, now time.Time) {
	t.failingBits.Store(math.Float64bits(share))
	t.failingAt.Store(p.clock(now))
}

// FailureShares returns the share of requests that failed at each target of which that was reported of late, by name.
func (p *Pool) FailureShares(now time.Time) map[string]float64 {
	since := p.clock(now)
	shares := make(map[string]float64)
	for _, t := range p.view.Load().all {
		at := t.failingAt.Load()
		if at != 0 && since-at < int64(failingCounts) {
			shares[t.Name] = math.Float64frombits(t.failingBits.Load())
		}
	}
	return shares
}

// PickProbation takes a target on probation for an idempotent request, and reports whether there
// is one.
func (p *Pool) PickProbation(now time.Time) (*Target, bool) {
	since := p.clock(now)
	for _, t := range p.view.Load().all {
		if t.probation.Load() != probationOpen || t.pausedUntil.Load() > since {
			continue
		}
		if t.probation.CompareAndSwap(probationOpen, probationTaken) {
			return t, true
		}
	}
	return nil, false
}

// Pick chooses a target that is not among those tried, and reports whether there is one.
func (p *Pool) Pick(now time.Time, tried []*Target) (*Target, bool) {
	v := p.view.Load()
	since := p.clock(now)
	own := p.drawTwo(v.own, since, tried)
	if own != nil && own.cost(since) < 1 {
		return own, true
	}
	other := p.drawTwo(v.other, since, tried)
	switch {
	case own == nil && other == nil:
		return nil, false
	case own == nil:
		return other, true
	case other != nil && other.cost(since) < own.cost(since)-SpillMargin:
		return other, true
	default:
		return own, true
	}
}
