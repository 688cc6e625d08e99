// Package subrequest learns which routes the backend servers of one host call while they
// serve requests of their own.
//
// Nothing on a request says that a backend server sends it for another one that it is
// running. But a backend server whose call fails mostly fails the request that needed it,
// at once. So a route is called by the host's backend servers if failures of requests to
// it, seen where they begin, are followed by a failed answer of those backend servers far
// more often than chance has it. Whoever knows that can keep such calls from being refused:
// each one wastes the work on the request that needed it. The hosts of a service tell each
// other what they see, so that a few failures at any of them teach all.
//
// # Rules
//
// Each failure of a route opens a trial, unless one is open or has just been followed: what
// fails together shows no more than one failure does. A trial that a failed answer follows soon speaks for the route, one
// that none follows speaks against it, by the logarithm of how much likelier that is if the
// route is called than by chance. Chance is how often the backend servers fail at any time,
// which is much where they are sick. The sum is the weight of the route: from enough on it is
// considered called, and until the weight is gone again. The sum is bounded, so that what was
// learned wrongly is unlearned soon.
//
// A Tracker is the aggregate of one host. It takes routes, outcomes and the time; it has no
// clock, goroutine or socket. It is safe for concurrent use.
//
// # Usage
//
//	tracker := subrequest.New(subrequest.Config{Changed: log})
//	tracker.Failed(now, route)          // a request that began here got no answer
//	updates := tracker.Answered(now, false) // a backend server of the host answered; false: that it failed
//	known := tracker.Hear(evidence)     // what another host of the same service saw
//	if tracker.Is(route) { ... }
package subrequest

import (
	"math"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/route"
)

const (
	// followWithin is how soon a backend server fails after a call of it has. Source: its own
	// answer's way on the host, and some milliseconds of its work.
	followWithin = 100 * time.Millisecond
	// followed is the share of a called route's trials that a failed answer follows. Source:
	// what needs a call fails without it; some was given up by its caller before.
	followed = 0.8
	// leastChance and mostChance bound the share of trials that a failed answer follows by
	// chance. Source: a backend server that fails once in two seconds follows one in twenty;
	// where most are followed by chance, nothing can be learned.
	leastChance = 0.05
	mostChance  = 0.4
	// averageOver is the time over which failed answers are averaged. Source: a backend
	// server is sick for some seconds at a time.
	averageOver = 10 * time.Second
	// startRate is the rate of failed answers, a second, that is assumed at first, as if it had
	// been seen for startTime. Source: what a host with a sick backend server has; another rate
	// shows within seconds.
	startRate = 1.0
	startTime = 2 * time.Second
)

// enough is the weight from which a route is considered called. Source: with the logarithm of
// a thousand one route in a thousand is taken so by chance; three trials are enough where
// backend servers seldom fail, four at first.
var enough = math.Log(1000)

// Config holds who is told.
type Config struct {
	// OnChange is told of a route that is considered called from now on, or no longer. It must
	// not call the tracker.
	OnChange func(name route.Name, called bool)
}

// Tracker is what is known of one host's calls.
type Tracker struct {
	config Config

	mu     sync.Mutex
	routes map[route.Name]*record
	rate   float64   // of failed answers, a second
	rated  time.Time // when that was
	began  time.Time // when the first failure was seen
}

// record is what is known of one route.
type record struct {
	name   route.Name
	weight float64
	untold float64 // of the weight, what other hosts have not been told
	known  bool    // it is considered called
	opened time.Time
	ended  time.Time // the last trial that a failed answer followed
}

// Evidence is what a host saw of a route since it told of it last.
type Evidence struct {
	Route route.Name `json:"route"`
	// Weight is the logarithm of how much likelier that is if the route is called than by
	// chance.
	Weight float64 `json:"weight"`
}

// New returns a tracker that knows nothing.
func New(config Config) *Tracker {
	return &Tracker{config: config, routes: make(map[route.Name]*record)}
}

// Failed records that a request to the route, which began on this host, got no answer.
func (t *Tracker) Failed(now time.Time, name route.Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.began.IsZero() {
		t.began = now
		t.rate, t.rated = startRate, now
	}
	r := t.recordOf(name)
	t.expire(now, r)
	if r.opened.IsZero() && now.Sub(r.ended) > followWithin {
		r.opened = now
	}
}

// recordOf returns what is known of the route.
func (t *Tracker) recordOf(name route.Name) *record {
	r, ok := t.routes[name]
	if !ok {
		r = &record{name: name}
		t.routes[name] = r
	}
	return r
}

// expire ends a trial that no failed answer followed.
func (t *Tracker) expire(now time.Time, r *record) {
	if r.opened.IsZero() || now.Sub(r.opened) <= followWithin {
		return
	}
	r.opened = time.Time{}
	t.weigh(r, math.Log((1-followed)/(1-t.chance(now))))
}

// chance is the share of trials that a failed answer follows by chance.
func (t *Tracker) chance(now time.Time) float64 {
	return min(mostChance, max(leastChance, 1-math.Exp(-t.rateAt(now)*followWithin.Seconds())))
}

// rateAt is the rate of failed answers, fading since the last one.
func (t *Tracker) rateAt(now time.Time) float64 {
	return t.rate * math.Exp(-now.Sub(t.rated).Seconds()/t.averaged(now))
}

// averaged is the time in seconds over which failed answers are averaged: as long as they
// have been seen, up to a limit.
func (t *Tracker) averaged(now time.Time) float64 {
	return min(averageOver, startTime+now.Sub(t.began)).Seconds()
}

// weigh adds to the weight what was seen here.
func (t *Tracker) weigh(r *record, weight float64) {
	r.untold += weight
	t.add(r, weight)
}

// add adds to the weight, and draws the conclusion.
func (t *Tracker) add(r *record, weight float64) {
	r.weight = min(enough, max(-enough, r.weight+weight))
	known := r.known
	switch {
	case r.weight >= enough:
		r.known = true
	case r.weight <= 0:
		r.known = false
	}
	if r.known != known {
		t.config.OnChange(r.name, r.known)
	}
}

// Answered records an answer of a backend server of this host, and returns what to tell the
// other hosts of its service.
func (t *Tracker) Answered(now time.Time, good bool) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if good {
		return nil
	}
	var updates []Evidence
	chance := t.chance(now) // without this answer
	for _, r := range t.routes {
		t.expire(now, r)
		if r.opened.IsZero() {
			continue
		}
		updates = append(updates, t.follow(now, r, math.Log(followed/chance))...)
	}
	if !t.began.IsZero() {
		t.rate = t.rateAt(now) + 1/t.averaged(now)
		t.rated = now
	}
	return updates
}

// follow ends a trial that a failed answer followed, and returns what to tell of it: nothing
// once the route has been considered called for a while.
func (t *Tracker) follow(now time.Time, r *record, weight float64) []Evidence {
	r.opened, r.ended = time.Time{}, now
	wasKnown := r.known
	t.weigh(r, weight)
	untold := r.untold
	r.untold = 0
	if wasKnown {
		return nil
	}
	return []Evidence{{Route: r.name, Weight: untold}}
}

// AddRemoteEvidence adds what another host of the same service saw, and reports whether the route is known
// to be called.
func (t *Tracker) AddRemoteEvidence(e Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(e.Route)
	t.add(r, min(enough, max(-enough, e.Weight)))
	return r.known
}

// MarkCalled records that another host of the same service knows the route to be called.
func (t *Tracker) MarkCalled(name route.Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(t.recordOf(name), 2*enough)
}

// IsSubrequest reports whether the route is known to be called by the host's backend servers.
func (t *Tracker) IsSubrequest(name route.Name) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.routes[name]
	return ok && r.known
}

// Retain forgets the routes for which the function returns false.
func (t *Tracker) Retain(declared func(route.Name) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.routes {
		if !declared(name) {
			delete(t.routes, name)
		}
	}
}
