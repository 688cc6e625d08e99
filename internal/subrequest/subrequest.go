// Package subrequest learns which routes the backend servers of one host call while they serve
// requests of their own.
//
// Nothing in a request shows that a backend server sends it on behalf of another request that it is
// running. But a backend server whose call fails usually fails the request that needed the call
// immediately afterwards. A route is therefore considered called by the host's backend servers if
// failures of requests to the route, observed at the host where they begin, are followed by failed
// answers of those backend servers far more often than by chance. Such calls can then be spared
// from refusal, which would waste the work already done on the request that needs them. The hosts
// of a service share their evidence, so that a few failures at any of them are enough for all.
//
// # Rules
//
// Each failure of a route opens a trial, unless a trial is open or was followed just before:
// failures that occur together are one piece of evidence. A trial that a failed answer follows
// within followWindow is evidence for the route, and one that none follows is evidence against it.
// The weight of the evidence is the logarithm of the likelihood ratio: how much likelier it is if
// the route is called than by chance. The chance follows from the rate of failed answers, which is
// high where backend servers are unhealthy. The sum is the weight of the route. The route is
// considered called once the weight reaches calledWeight, and until the weight is back at zero. The
// weight is bounded, so that a wrong conclusion is reverted soon.
//
// A Tracker is the aggregate of one host. It takes routes, outcomes and the time; it has no clock,
// goroutine or socket. It is safe for concurrent use.
//
// # Usage
//
//	tracker := subrequest.New(subrequest.Config{OnChange: log})
//	tracker.Failed(now, route)                    // a request that began here got no answer
//	updates := tracker.Answered(now, false)       // a backend server of the host answered with a failure
//	called := tracker.AddRemoteEvidence(evidence) // from another host of the same service
//	if tracker.IsSubrequest(route) { ... }
package subrequest

import (
	"math"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/route"
)

const (
	// followWindow is how soon after a failed call a failed answer must come to count as its
	// consequence.
	followWindow = 100 * time.Millisecond
	// followProbability is the share of a called route's trials that a failed answer follows. It is
	// below 1, since the caller may have given up the request before.
	followProbability = 0.8
	// minChance and maxChance bound the share of trials that a failed answer follows by chance.
	// Nothing can be learned where most trials are followed by chance.
	minChance = 0.05
	maxChance = 0.4
	// averagingWindow is the time over which the rate of failed answers is averaged.
	averagingWindow = 10 * time.Second
	// initialRate is the rate of failed answers per second that is assumed at first, as if observed
	// for initialWindow.
	initialRate   = 1.0
	initialWindow = 2 * time.Second
)

// calledWeight is the weight from which a route is considered called. By chance about one route in
// a thousand reaches it; three followed trials suffice where backend servers seldom fail.
var calledWeight = math.Log(1000)

// Config configures a tracker.
type Config struct {
	// OnChange is called when a route becomes considered called, or no longer is. It must not call
	// the tracker.
	OnChange func(name route.Name, called bool)
}

// Tracker tracks the routes that one host's backend servers call.
type Tracker struct {
	config Config

	mu           sync.Mutex
	routes       map[route.Name]*record
	rate         float64   // failed answers per second, as of ratedAt
	ratedAt      time.Time // when rate was computed
	firstFailure time.Time // when the first failure was recorded
}

// record is the state of one route.
type record struct {
	name         route.Name
	weight       float64
	unreported   float64   // part of weight that other hosts have not been notified of
	called       bool      // whether the route is considered called
	trialStart   time.Time // start of the open trial; zero if none is open
	lastFollowed time.Time // end of the last trial that a failed answer followed
}

// Evidence is what a host has observed of a route since its last report.
type Evidence struct {
	Route route.Name `json:"route"`
	// Weight is the logarithm of the likelihood ratio of the observations: how much likelier they
	// are if the route is called than by chance.
	Weight float64 `json:"weight"`
}

// New returns a tracker without evidence.
func New(config Config) *Tracker {
	return &Tracker{config: config, routes: make(map[route.Name]*record)}
}

// Failed records that a request to the route, which began on this host, got no answer.
func (t *Tracker) Failed(now time.Time, name route.Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstFailure.IsZero() {
		t.firstFailure = now
		t.rate, t.ratedAt = initialRate, now
	}
	r := t.recordOf(name)
	t.expire(now, r)
	if r.trialStart.IsZero() && now.Sub(r.lastFollowed) > followWindow {
		r.trialStart = now
	}
}

// recordOf returns the record of the route, which it creates if necessary.
func (t *Tracker) recordOf(name route.Name) *record {
	r, ok := t.routes[name]
	if !ok {
		r = &record{name: name}
		t.routes[name] = r
	}
	return r
}

// expire ends an open trial that no failed answer followed in time.
func (t *Tracker) expire(now time.Time, r *record) {
	if r.trialStart.IsZero() || now.Sub(r.trialStart) <= followWindow {
		return
	}
	r.trialStart = time.Time{}
	t.addLocalWeight(r, math.Log((1-followProbability)/(1-t.chance(now))))
}

// chance returns the share of trials that a failed answer follows by chance.
func (t *Tracker) chance(now time.Time) float64 {
	return min(maxChance, max(minChance, 1-math.Exp(-t.rateAt(now)*followWindow.Seconds())))
}

// rateAt returns the rate of failed answers, which decays after the last one.
func (t *Tracker) rateAt(now time.Time) float64 {
	return t.rate * math.Exp(-now.Sub(t.ratedAt).Seconds()/t.averagingSeconds(now))
}

// averagingSeconds returns the time in seconds over which failed answers are averaged: the time
// since the first failure plus initialWindow, up to averagingWindow.
func (t *Tracker) averagingSeconds(now time.Time) float64 {
	return min(averagingWindow, initialWindow+now.Sub(t.firstFailure)).Seconds()
}

// addLocalWeight adds the weight of evidence observed on this host, which is also reported to
// others.
func (t *Tracker) addLocalWeight(r *record, weight float64) {
	r.unreported += weight
	t.addWeight(r, weight)
}

// addWeight adds to the weight of the route and updates whether it is considered called.
func (t *Tracker) addWeight(r *record, weight float64) {
	r.weight = min(calledWeight, max(-calledWeight, r.weight+weight))
	called := r.called
	switch {
	case r.weight >= calledWeight:
		r.called = true
	case r.weight <= 0:
		r.called = false
	}
	if r.called != called {
		t.config.OnChange(r.name, r.called)
	}
}

// Answered records an answer of a backend server of this host; good is false if it is a failure. It
// returns the evidence to report to the other hosts of its service.
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
		if r.trialStart.IsZero() {
			continue
		}
		updates = append(updates, t.endFollowedTrial(now, r, math.Log(followProbability/chance))...)
	}
	if !t.firstFailure.IsZero() {
		t.rate = t.rateAt(now) + 1/t.averagingSeconds(now)
		t.ratedAt = now
	}
	return updates
}

// endFollowedTrial ends a trial that a failed answer followed, and returns the evidence to report:
// none if the route was already considered called.
func (t *Tracker) endFollowedTrial(now time.Time, r *record, weight float64) []Evidence {
	r.trialStart, r.lastFollowed = time.Time{}, now
	wasCalled := r.called
	t.addLocalWeight(r, weight)
	unreported := r.unreported
	r.unreported = 0
	if wasCalled {
		return nil
	}
	return []Evidence{{Route: r.name, Weight: unreported}}
}

// AddRemoteEvidence adds the evidence of another host of the same service, and reports whether the
// route is considered called.
func (t *Tracker) AddRemoteEvidence(e Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordOf(e.Route)
	t.addWeight(r, min(calledWeight, max(-calledWeight, e.Weight)))
	return r.called
}

// MarkCalled records that another host of the same service considers the route called.
func (t *Tracker) MarkCalled(name route.Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addWeight(t.recordOf(name), 2*calledWeight)
}

// IsSubrequest reports whether the route is considered called by the host's backend servers.
func (t *Tracker) IsSubrequest(name route.Name) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.routes[name]
	return ok && r.called
}

// Retain removes the routes for which the function returns false.
func (t *Tracker) Retain(declared func(route.Name) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.routes {
		if !declared(name) {
			delete(t.routes, name)
		}
	}
}
