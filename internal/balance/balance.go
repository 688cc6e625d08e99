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
// away, and is drawn less often while its share is below FullShare.
package balance

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	// FullShare is the share of a target that gets its whole part of the work.
	FullShare = 1024
	// SpillMargin is how much less loaded a backend server of another data
	// centre must be to get a request that finds no free slot in its own.
	SpillMargin = 0.25
	// loadCounts is how long a reported load counts, less and less. Without
	// that a target that once reported a high load would get no more work, and
	// so never report another.
	loadCounts = time.Second
	// busyUnit is a share of one in BusyShare's counting, and busyWeight the part
	// that the newest answer weighs.
	busyUnit   = 1 << 20
	busyWeight = 16
	// probeLasts is how long one probe keeps others from the target.
	probeLasts = 300 * time.Millisecond
	// draws is how often a target is drawn before all are looked through.
	draws = 6
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

// Reconfigure takes the service's backend servers. Those that were there keep
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

func (v *view) add(t *Target, own bool) {
	v.all = append(v.all, t)
	if own {
		v.own = append(v.own, t)
		return
	}
	v.other = append(v.other, t)
}

// Targets returns every target in the order of the declaration.
func (p *Pool) Targets() []*Target { return p.view.Load().all }

// Report takes the load that came with a target's answer.
func (p *Pool) Report(t *Target, load float64, now time.Time) {
	t.loadBits.Store(math.Float64bits(load))
	t.reported.Store(int64(now.Sub(p.config.Start)))
}

// Looked takes whether a target had a free slot when it was asked for one.
func (p *Pool) Looked(free bool) {
	for {
		old := p.busyShare.Load()
		next := old - old/busyWeight
		if !free {
			next += busyUnit / busyWeight
		}
		if p.busyShare.CompareAndSwap(old, next) {
			return
		}
	}
}

// BusyShare returns how many of the last targets asked had no free slot, from 0
// to 1.
func (p *Pool) BusyShare() float64 { return float64(p.busyShare.Load()) / busyUnit }

// Pause keeps the target from being chosen until then.
func (p *Pool) Pause(t *Target, until time.Time) {
	t.pausedUntil.Store(int64(until.Sub(p.config.Start)))
}

// Doubt keeps the target from being chosen until then, unless there is no other.
func (p *Pool) Doubt(t *Target, until time.Time) {
	t.doubtUntil.Store(int64(until.Sub(p.config.Start)))
}

// Trust lets the target be chosen again.
func (p *Pool) Trust(t *Target) { t.doubtUntil.Store(0) }

// PickProbe takes a target of the own data centre that was doubted and may be
// tried again. It says false if there is none.
func (p *Pool) PickProbe(now time.Time) (*Target, bool) {
	since := int64(now.Sub(p.config.Start))
	for _, t := range p.view.Load().own {
		until := t.doubtUntil.Load()
		if until == 0 || until > since || t.pausedUntil.Load() > since {
			continue
		}
		if t.doubtUntil.CompareAndSwap(until, since+int64(probeLasts)) {
			return t, true
		}
	}
	return nil, false
}

// PickDoubted chooses the least loaded target that is passed over for doubt
// alone. It says false if there is none.
func (p *Pool) PickDoubted(now time.Time, tried []*Target) (*Target, bool) {
	since := int64(now.Sub(p.config.Start))
	var best *Target
	for _, t := range p.view.Load().all {
		if t.doubtUntil.Load() <= since || t.pausedUntil.Load() > since || slices.Contains(tried, t) {
			continue
		}
		if best == nil || t.cost(since) < best.cost(since) {
			best = t
		}
	}
	return best, best != nil
}

// Paused says whether the target is paused.
func (p *Pool) Paused(t *Target, now time.Time) bool {
	return t.pausedUntil.Load() > int64(now.Sub(p.config.Start))
}

// PickTrial takes a target on trial for a repeatable request. It says false if
// there is none.
func (p *Pool) PickTrial(now time.Time) (*Target, bool) {
	since := int64(now.Sub(p.config.Start))
	for _, t := range p.view.Load().all {
		if t.trial.Load() != trialOpen || t.pausedUntil.Load() > since {
			continue
		}
		if t.trial.CompareAndSwap(trialOpen, trialTaken) {
			return t, true
		}
	}
	return nil, false
}

// Pick chooses a target that is not among those tried. It says false if there
// is none.
func (p *Pool) Pick(now time.Time, tried []*Target) (*Target, bool) {
	v := p.view.Load()
	since := int64(now.Sub(p.config.Start))
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

// none is the place of no target.
const none = -1

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

func usable(t *Target, since int64, tried []*Target) bool {
	return t.pausedUntil.Load() <= since && t.doubtUntil.Load() <= since && !slices.Contains(tried, t)
}
