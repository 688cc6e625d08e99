// Package nested learns which routes the backend servers of one host call while they
// serve requests of their own.
//
// Nothing on a request says that a backend server sends it for another one that it is
// running. But a backend server whose call fails mostly fails the request that needed it,
// at once. So a route is called by the host's backend servers if failures of requests to
// it, seen where they begin, are followed by failed answers of those backend servers more
// often than not. Whoever knows that can keep such calls from being refused: each one
// wastes the work on the request that needed it. The hosts of a service tell each other
// what they see, so that a few failures at any of them teach all.
//
// A Tracker is the aggregate of one host. It takes routes, outcomes and the time; it has no
// clock, goroutine or socket. It is safe for concurrent use.
//
// # Usage
//
//	tracker := nested.New()
//	tracker.Failed(now, route)          // a request that began here got no answer
//	news := tracker.Answered(now, false) // a backend server of the host answered; false: that it failed
//	known := tracker.Hear(evidence)     // what another host of the same service saw
//	if tracker.Is(route) { ... }
package nested

import (
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/route"
)

const (
	// within is how soon a backend server fails after a call of it has. Source: its own
	// answer's way on the host, and some milliseconds of its work.
	within = 100 * time.Millisecond
	// enough is how many failures have to be followed by one of a backend server.
	// Source: a backend server that fails once a second by itself follows a failure by
	// chance in a tenth of the cases, and most of three or more in one of fifty hosts.
	enough = 3
	// mostly is the share of failures that have to be followed.
	mostly = 0.6
	// waiting bounds the failures that wait for what follows them.
	waiting = 64
)

// Tracker is what is known of one host's calls.
type Tracker struct {
	mu     sync.Mutex
	nested map[route.Name]bool
	seen   map[route.Name]*count
	failed []failure // not yet followed, the oldest first
}

// count is how many failures of a route there were, and how many were followed.
type count struct {
	failures, followed float64
	untold             int // failures that other hosts have not been told of
}

// Evidence is what a host saw of a route since it told of it last.
type Evidence struct {
	Route route.Name `json:"route"`
	// Failures is how many requests to it got no answer, and Followed how many of them
	// were followed by a failed answer of a backend server.
	Failures int `json:"failures"`
	Followed int `json:"followed"`
}

// failure is a request that got no answer.
type failure struct {
	at   time.Time
	name route.Name
}

// New returns a tracker that knows nothing.
func New() *Tracker {
	return &Tracker{nested: make(map[route.Name]bool), seen: make(map[route.Name]*count)}
}

// Failed takes it that a request to the route, which began on this host, got no answer.
func (t *Tracker) Failed(now time.Time, name route.Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nested[name] {
		return
	}
	c := t.countOf(name)
	c.failures++
	c.untold++
	t.failed = append(t.failed, failure{at: now, name: name})
	t.failed = t.failed[max(0, len(t.failed)-waiting):]
}

// countOf returns the route's count.
func (t *Tracker) countOf(name route.Name) *count {
	c, ok := t.seen[name]
	if !ok {
		c = &count{}
		t.seen[name] = c
	}
	return c
}

// Answered takes an answer of a backend server of this host, and returns what to tell the
// other hosts of its service.
func (t *Tracker) Answered(now time.Time, good bool) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if good || len(t.failed) == 0 {
		return nil
	}
	var news []Evidence
	for _, f := range t.failed {
		if now.Sub(f.at) > within || t.nested[f.name] {
			continue
		}
		c := t.countOf(f.name)
		news = append(news, Evidence{Route: f.name, Failures: c.untold, Followed: 1})
		c.untold = 0
		c.followed++
		t.weigh(f.name, c)
	}
	t.failed = t.failed[:0] // the one answer follows all of them, and none twice
	return news
}

// Hear takes what another host of the same service saw, and says whether the route is known
// to be called.
func (t *Tracker) Hear(e Evidence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nested[e.Route] {
		return true
	}
	c := t.countOf(e.Route)
	c.failures += float64(e.Failures)
	c.followed += float64(e.Followed)
	t.weigh(e.Route, c)
	return t.nested[e.Route]
}

// Learn takes it from another host of the same service that the route is called.
func (t *Tracker) Learn(name route.Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learn(name)
}

// weigh takes the route for called once enough failures were followed.
func (t *Tracker) weigh(name route.Name, c *count) {
	if c.followed >= enough && c.followed >= mostly*c.failures {
		t.learn(name)
	}
}

// learn takes it that the route is called.
func (t *Tracker) learn(name route.Name) {
	t.nested[name] = true
	delete(t.seen, name)
}

// Is says whether the route is known to be called by the host's backend servers.
func (t *Tracker) Is(name route.Name) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nested[name]
}

// Keep forgets the routes for which the function says no.
func (t *Tracker) Keep(declared func(route.Name) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.nested {
		if !declared(name) {
			delete(t.nested, name)
		}
	}
	for name := range t.seen {
		if !declared(name) {
			delete(t.seen, name)
		}
	}
}
