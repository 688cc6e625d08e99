// Package balance chooses the backend server for a request.
//
// A Pool holds the backend servers of one service as one daemon sees them. Pick reads only
// atomic values, so that concurrent requests do not block each other, and does not allocate.
//
// # Usage
//
//	pool := balance.NewPool(balance.Config{DataCentre: "csepel", Random: rand.Uint64})
//	pool.Reconfigure(service, index)
//	target, ok := pool.Pick(now, tried)
//	target.Begin()
//	defer target.End()
//	pool.RecordLoad(target, load, now)
//
// The algorithm is power of two choices on load: of two targets drawn at random the less
// loaded one is chosen, from the caller's own data centre first. A request spills over to
// another data centre if the target chosen has no free slot and the one drawn there is less
// loaded by more than SpillMargin. Of a large service, each daemon prefers a subset of the
// targets in its own data centre, and draws from all of them only if it finds no free slot there.
//
// A target is skipped while it is paused, which lasts as long as it requested, and while it is
// suspected, unless no other is left or the request is a probe. It is drawn less often while
// its share is below FullShare.
//
// File balance.go has the choice, subset.go the preferred targets, draw.go the drawing of two targets, pause.go paused and
// suspected targets, busy.go the share of busy targets, and target.go a single target.
package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	// FullShare is the share of a target that gets its full part of the requests.
	FullShare = 1024
	// SpillMargin is how much less loaded a backend server of another data centre must be to get
	// a request that finds no free slot in its own. Traffic between data centres is expensive
	// and slow, so a small difference does not justify it.
	SpillMargin = 0.25
	// loadDecay is the time over which the weight of a reported load decreases to zero. A
	// backend server with a high load gets no requests and so reports no lower one; without the
	// decrease it would stay excluded after it has recovered.
	loadDecay = time.Second
	// failureShareTTL is how long a reported failure share is used. In a large fleet a daemon
	// sends each backend server a request only every few seconds.
	failureShareTTL = 10 * time.Second
)

// Config holds the daemon's place, the random source and the time base of a pool.
type Config struct {
	// Host is the daemon's own host.
	Host string
	// DataCentre is the daemon's own data centre.
	DataCentre string
	// Random returns 64 random bits and is safe for concurrent use.
	Random func() uint64
	// Start is the time from which the pool counts.
	Start time.Time
}

// Pool holds the backend servers of one service.
type Pool struct {
	config    Config
	busyShare atomic.Int64 // in parts of busyUnit
	view      atomic.Pointer[view]
	baseline  atomic.Pointer[baseline]
	targets   map[string]*Target // by name; used by Reconfigure only
}

// view is the state that Pick reads; it is immutable once stored.
type view struct {
	all       []*Target // all but the evacuated ones
	own       []*Target // of the own data centre
	subset    []*Target // of own, those that are preferred; nil if all are
	other     []*Target // of other data centres
	evacuated []*Target // in evacuated data centres, kept for their state
}

// NewPool returns a pool without targets.
func NewPool(config Config) *Pool {
	p := &Pool{config: config, targets: make(map[string]*Target)}
	p.view.Store(&view{})
	return p
}

// Reconfigure replaces the targets by the service's backend servers. Targets that remain keep
// their state. Those in evacuated data centres are never chosen. Calls must not overlap.
func (p *Pool) Reconfigure(service fleet.Service, index *fleet.Index) {
	next := &view{all: make([]*Target, 0, len(service.BackendServers))}
	for i := range service.BackendServers {
		name := service.BackendServers[i].Name
		placement, ok := index.BackendServer(name)
		if !ok {
			continue
		}
		t := p.target(name)
		t.placement.Store(placement)
		if index.Evacuated(placement.Host.DataCentre) {
			next.evacuated = append(next.evacuated, t)
			continue
		}
		next.add(t, placement.Host.DataCentre == p.config.DataCentre)
	}
	next.subset = subsetOf(next.own)
	p.forgetRemoved(index)
	p.view.Store(next)
}

// target returns the target of that name, and creates it if necessary.
func (p *Pool) target(name string) *Target {
	t, ok := p.targets[name]
	if !ok {
		t = &Target{Name: name, poolBaseline: &p.baseline, affinity: affinity(p.config.Host, name)}
		t.SetShare(FullShare)
		p.targets[name] = t
	}
	return t
}

// forgetRemoved removes the targets that are no longer declared.
func (p *Pool) forgetRemoved(index *fleet.Index) {
	for name := range p.targets {
		if _, ok := index.BackendServer(name); !ok {
			delete(p.targets, name)
		}
	}
}

// SetBaseline sets the encoded baseline and the typical latency of the service's backend servers,
// for targets that have none of their own.
func (p *Pool) SetBaseline(text string, typicalLatency time.Duration) {
	p.baseline.Store(&baseline{text, typicalLatency})
}

// add adds a target to the own data centre or to the others.
func (v *view) add(t *Target, own bool) {
	v.all = append(v.all, t)
	if own {
		v.own = append(v.own, t)
		return
	}
	v.other = append(v.other, t)
}

// sinceStart returns the time in nanoseconds since the pool's start.
func (p *Pool) sinceStart(at time.Time) int64 { return int64(at.Sub(p.config.Start)) }

// Evacuated returns the targets in evacuated data centres.
func (p *Pool) Evacuated() []*Target { return p.view.Load().evacuated }

// AllEvacuated reports whether the service has backend servers, all of them in evacuated data
// centres.
func (p *Pool) AllEvacuated() bool {
	v := p.view.Load()
	return len(v.all) == 0 && len(v.evacuated) > 0
}

// Targets returns all targets outside evacuated data centres, in the order of the declaration.
func (p *Pool) Targets() []*Target { return p.view.Load().all }

// RecordLoad records the load that was reported with a target's answer.
func (p *Pool) RecordLoad(t *Target, load float64, now time.Time) {
	t.loadBits.Store(math.Float64bits(load))
	t.loadAt.Store(p.sinceStart(now))
}

// RecordFailureShare records the share of failed requests that the target's sidecar reported.
func (p *Pool) RecordFailureShare(t *Target, share float64, now time.Time) {
	t.failureShareBits.Store(math.Float64bits(share))
	t.failureShareAt.Store(p.sinceStart(now))
}

// FailureShares returns the share of failed requests by target name, for each target with a
// recent report.
func (p *Pool) FailureShares(now time.Time) map[string]float64 {
	elapsed := p.sinceStart(now)
	shares := make(map[string]float64)
	for _, t := range p.view.Load().all {
		reportedAt := t.failureShareAt.Load()
		if reportedAt != 0 && elapsed-reportedAt < int64(failureShareTTL) {
			shares[t.Name] = math.Float64frombits(t.failureShareBits.Load())
		}
	}
	return shares
}

// PickProbation claims a target in probation for an idempotent request, and reports whether
// there is one.
func (p *Pool) PickProbation(now time.Time) (*Target, bool) {
	elapsed := p.sinceStart(now)
	for _, t := range p.view.Load().all {
		if t.probation.Load() != probationOpen || t.pausedUntil.Load() > elapsed {
			continue
		}
		if t.probation.CompareAndSwap(probationOpen, probationTaken) {
			return t, true
		}
	}
	return nil, false
}

// Pick chooses a target that has not been tried yet, and reports whether there is one.
func (p *Pool) Pick(now time.Time, tried []*Target) (*Target, bool) {
	v := p.view.Load()
	elapsed := p.sinceStart(now)
	if preferred := p.drawTwo(v.subset, elapsed, tried); preferred != nil && preferred.cost(elapsed) < 1 {
		return preferred, true
	}
	own := p.drawTwo(v.own, elapsed, tried)
	if own != nil && own.cost(elapsed) < 1 {
		return own, true
	}
	other := p.drawTwo(v.other, elapsed, tried)
	switch {
	case own == nil && other == nil:
		return nil, false
	case own == nil:
		return other, true
	case other != nil && other.cost(elapsed) < own.cost(elapsed)-SpillMargin:
		return other, true
	default:
		return own, true
	}
}
