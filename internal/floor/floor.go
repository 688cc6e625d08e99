// Package floor keeps a service's floor while backend servers are ejected.
//
// Only a backend server's own sidecar ejects it. Before it does, it must hold leases to keep
// serving from at least as many other backend servers of the service as the floor says. A backend
// server that granted one is not ejected itself until the lease has run out. So those that are not
// ejected are never fewer than the floor, in whatever order they ask, whichever messages are lost,
// and whether the platform answers or not. What is lost is speed: a backend server that cannot
// collect leases stays in service.
//
// When a backend server is ejected and when it comes back is told in package detect; this
// package has the step between a verdict and the ejection. A Ledger is the leases of one backend
// server, owned by its sidecar's task. It is given messages and the time; it has no clock,
// goroutine or socket.
//
// # Usage
//
//	l := floor.NewLedger(floor.Config{Name: "csepel/lookup-1", Start: start, FirstNumber: rand.Uint64()})
//	refusal := l.Answer(now, floor.Request{Asker: "csepel/lookup-2", Number: 7})
//	l.BeginAsking(now, severity)                             // this one wants to be ejected
//	request := l.NewRequest("obuda/lookup-3")                // to be sent
//	l.RecordGrant(request.Number, "obuda/lookup-3", askedAt) // the answer
//	if l.Eject(now, floor) { ... }                           // ejected
//	if !l.MayStayEjected(now, floor) { ... }                 // at each use: back in service
//
// Clocks: each side counts a lease by its own monotonic clock, the holder from
// before it asked, the giver from when it answered, so the holder's runs out
// first. DriftPart is left for clocks that run at different speeds. A sidecar
// that has just started may have given leases before, so it keeps to itself
// for one lease.
//
// Messages may be late, doubled or out of order. Each request has a number of
// its own; an answer counts only for the latest request, and a release undoes
// only the lease of the request it names.
package floor

import (
	"slices"
	"time"
)

const (
	// Lease is how long a lease binds who granted it. Not measured: one who granted a lease and
	// is lost counts towards the floor for as long, and a sidecar that has just started is not
	// ejected for as long.
	Lease = 2 * time.Second
	// RenewInterval is how often a holder asks again. Not measured: two renewals may be lost
	// before a lease runs out; each costs as many calls as the floor.
	RenewInterval = 500 * time.Millisecond
	// DriftPart is the part of a lease that a holder leaves unused, as one part in so many: 100 ms,
	// 5%. Not measured: clocks differ by far less over two seconds.
	DriftPart = 20
)

// Refusal says why a lease was not given.
type Refusal string

// The refusals.
const (
	// Granted means that the lease was given.
	Granted Refusal = ""
	// RefusedEjected means that the one asked is ejected itself.
	RefusedEjected Refusal = "ejected"
	// RefusedUnable means that it is draining, dead or cold.
	RefusedUnable Refusal = "unable"
	// RefusedWorse means that it is asking for itself and is worse off.
	RefusedWorse Refusal = "worse"
)

// Request asks a backend server for a lease.
type Request struct {
	// Asker is the backend server that wants to be ejected.
	Asker string `json:"asker"`
	// Number tells the asker's requests apart.
	Number uint64 `json:"number"`
	// Severity is how badly it does; see detect.Verdict.
	Severity float64 `json:"severity"`
	// SuspectedFor is how long it has been under suspicion, in milliseconds.
	SuspectedFor int64 `json:"suspected_for_ms"`
}

// Release gives a lease back.
type Release struct {
	// Asker is who held it, Number the request it was given for.
	Asker  string `json:"asker"`
	Number uint64 `json:"number"`
}

// Config says whose ledger it is.
type Config struct {
	// Name is the backend server's.
	Name string
	// Start is when its sidecar started.
	Start time.Time
	// FirstNumber is where the numbers of requests begin. It differs from one
	// start of the sidecar to the next, as a random number does.
	FirstNumber uint64
}

// Ledger is the leases that one backend server gave and holds.
type Ledger struct {
	config   Config
	next     uint64
	unable   bool
	ejected  bool
	asking   bool
	severity float64
	given    map[string]given     // by who holds it
	held     map[string]time.Time // by who gave it: until when it counts
	asked    map[string]uint64    // by who was asked: the number of the latest request
}

// given is a lease that was given.
type given struct {
	number uint64
	until  time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(config Config) *Ledger {
	return &Ledger{
		config: config,
		next:   config.FirstNumber,
		given:  make(map[string]given),
		held:   make(map[string]time.Time),
		asked:  make(map[string]uint64),
	}
}

// SetUnable reports whether the backend server is draining, dead or cold, and so
// can grant nothing. Leases granted before stay binding.
func (l *Ledger) SetUnable(unable bool) { l.unable = unable }

// Answer answers another backend server that asks for a lease.
func (l *Ledger) Answer(now time.Time, r Request) Refusal {
	switch {
	case l.ejected:
		return RefusedEjected
	case l.unable:
		return RefusedUnable
	case l.asking && l.worseThan(r):
		return RefusedWorse
	}
	l.given[r.Asker] = given{number: r.Number, until: now.Add(Lease)}
	return Granted
}

// worseThan orders two that ask for themselves at once, so that they do not
// grant each other leases and both fail.
func (l *Ledger) worseThan(r Request) bool {
	if l.severity != r.Severity {
		return l.severity > r.Severity
	}
	return l.config.Name < r.Asker
}

// RecordRelease records that the holder of a lease no longer needs it.
func (l *Ledger) RecordRelease(r Release) {
	if l.given[r.Asker].number == r.Number {
		delete(l.given, r.Asker)
	}
}

// BeginRequesting records that the backend server wants to be ejected and reports whether it may
// ask for leases now.
func (l *Ledger) BeginRequesting(now time.Time, severity float64) bool {
	l.asking = now.Sub(l.config.Start) >= Lease && !l.bound(now)
	l.severity = severity
	return l.asking
}

// NewRequest returns the request for a lease to send to the backend server named.
func (l *Ledger) NewRequest(name string) Request {
	l.next++
	l.asked[name] = l.next
	return Request{Asker: l.config.Name, Number: l.next, Severity: l.severity}
}

// ReleaseAll ends the asking, or the ejection, and returns the leases to give back by the name of
// the backend server that granted each.
func (l *Ledger) ReleaseAll() map[string]Release {
	l.asking = false
	l.ejected = false
	return l.release(l.asked)
}

// bound reports whether a lease given still binds.
func (l *Ledger) bound(now time.Time) bool {
	for asker, g := range l.given {
		if now.Before(g.until) {
			return true
		}
		delete(l.given, asker)
	}
	return false
}

// RecordGrant records that the backend server named gave the lease asked for by the
// request of that number, which was made then.
func (l *Ledger) RecordGrant(number uint64, from string, asked time.Time) {
	if l.asked[from] == number {
		l.held[from] = asked.Add(Lease - Lease/DriftPart)
	}
}

// RecordRefusal records that the backend server named refused the request of that
// number. What it granted before counts until it runs out, since it binds
// until then.
func (l *Ledger) RecordRefusal(number uint64, from string) {
	if l.asked[from] == number && l.held[from].IsZero() {
		delete(l.asked, from)
	}
}

// Eject ejects the backend server if it holds leases from as many others as the floor says and is
// bound by none, and reports whether it did.
func (l *Ledger) Eject(now time.Time, floor int) bool {
	if l.ejected || !l.asking || l.bound(now) || l.count(now) < floor {
		return false
	}
	l.ejected = true
	l.asking = false
	return true
}

// MayStayEjected reports whether the backend server still holds enough leases to be ejected. Once it
// does not, the ejection has ended.
func (l *Ledger) MayStayEjected(now time.Time, floor int) bool {
	if !l.ejected {
		return false
	}
	if l.count(now) < floor {
		l.ejected = false
	}
	return l.ejected
}

// Restrict drops the leases of those who are not among the names: a backend
// server that is no longer declared keeps no floor.
func (l *Ledger) Restrict(names []string) {
	for from := range l.asked {
		if !slices.Contains(names, from) {
			delete(l.asked, from)
			delete(l.held, from)
		}
	}
}

// ReleaseSurplus keeps as many leases as the floor needs, the preferred first, and returns the others to give
// back by the name of the backend server that granted each.
func (l *Ledger) ReleaseSurplus(now time.Time, floor int, preferred func(name string) bool) map[string]Release {
	names := l.Grantors(now)
	if len(names) <= floor {
		return nil
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return order(preferred(a)) - order(preferred(b))
	})
	spare := make(map[string]uint64)
	for _, name := range names[floor:] {
		spare[name] = l.asked[name]
	}
	return l.release(spare)
}

// release drops the leases and returns their releases. Answers to these requests that come later no
// longer count.
func (l *Ledger) release(requests map[string]uint64) map[string]Release {
	releases := make(map[string]Release, len(requests))
	for name, number := range requests {
		releases[name] = Release{Asker: l.config.Name, Number: number}
	}
	for name := range releases {
		delete(l.held, name)
		delete(l.asked, name)
	}
	return releases
}

func order(preferred bool) int {
	if preferred {
		return 0
	}
	return 1
}

// Grantors returns who gave the leases that count now, sorted.
func (l *Ledger) Grantors(now time.Time) []string {
	names := make([]string, 0, len(l.held))
	for name, until := range l.held {
		if now.Before(until) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (l *Ledger) count(now time.Time) int {
	n := 0
	for _, until := range l.held {
		if now.Before(until) {
			n++
		}
	}
	return n
}
