// Package floor keeps the minimum number of a service's backend servers in service while others are
// ejected.
//
// A backend server is ejected only by its own sidecar. Before that, the sidecar must hold leases to
// keep serving from at least as many other backend servers of the service as the floor requires. A
// backend server that granted a lease is not ejected itself until the lease has expired. The number
// of servers that are not ejected therefore never falls below the floor, whatever the order of
// requests, whichever messages are lost, and whether or not the platform is available. The cost is
// speed: a backend server that cannot collect leases stays in service.
//
// A backend server that has to refuse requests for want of slots grants no lease to one that is merely slow,
// since a slow answer is better than none. An ejection for slowness therefore ends soon after too few others have
// room.
//
// The backend servers of a large service are divided into groups (group.go). Each group keeps its part
// of the floor, and leases are requested only within a group, so that the cost of an ejection does not
// grow with the service.
//
// Package detect decides when a backend server is ejected and reinstated; this package covers the
// step between a verdict and the ejection. A Ledger holds the leases of one backend server and is
// owned by its sidecar's task. It takes messages and the time; it has no clock, goroutine or socket.
//
// # Usage
//
//	l := floor.NewLedger(floor.Config{Name: "csepel/lookup-1", Start: start, FirstNumber: rand.Uint64()})
//	refusal := l.Answer(now, floor.Request{Requester: "csepel/lookup-2", Number: 7})
//	l.BeginRequesting(now, severity)                             // before an ejection
//	request := l.NewRequest("obuda/lookup-3")                    // to be sent to that server
//	l.RecordGrant(request.Number, "obuda/lookup-3", requestedAt) // if it granted the lease
//	l.RecordRefusal(now, request.Number, "obuda/lookup-3", refusal) // if it did not
//	if l.Eject(now, floor) { ... }                               // ejected
//	if !l.MayStayEjected(now, floor) { ... }                     // checked at each use: back in service
//
// # Clocks
//
// Each side measures a lease with its own monotonic clock, the holder from before it sent the
// request, the grantor from when it replied, so that the holder's lease expires first. DriftDivisor
// allows for clocks that run at different speeds. A sidecar that has just started may have granted
// leases before the restart, so it requests none for the length of one lease.
//
// # Messages
//
// Messages may be delayed, duplicated or reordered. Each request has a unique number; a reply counts
// only for the latest request, and a release applies only to the lease of the request it names.
package floor

import (
	"slices"
	"time"
)

const (
	// LeaseDuration is how long a lease binds its grantor. A grantor that is lost counts towards the floor
	// for this long, and a sidecar that has just started is not ejected for this long.
	LeaseDuration = 2 * time.Second
	// RenewInterval is the interval at which a holder renews its leases. Two consecutive renewals may
	// be lost before a lease expires; each costs as many calls as the floor.
	RenewInterval = 500 * time.Millisecond
	// DriftDivisor is the divisor for the part of a lease that the holder leaves unused to allow for
	// clock drift: a twentieth, 100 ms. Clocks differ by far less over one lease.
	DriftDivisor = 20
	// ReplaceTime is how long a lease counts after its grantor refused to renew it with RefusedBusy. Within it, the
	// holder requests leases from all others.
	ReplaceTime = 400 * time.Millisecond
)

// Refusal is the result of a lease request: Granted, or the reason why the lease was refused.
type Refusal string

// Results of a lease request.
const (
	// Granted means that the lease was granted.
	Granted Refusal = ""
	// RefusedEjected means that the backend server is ejected itself.
	RefusedEjected Refusal = "ejected"
	// RefusedUnable means that it is draining, dead or cold.
	RefusedUnable Refusal = "unable"
	// RefusedMoreSevere means that it requests leases for its own ejection and has precedence.
	RefusedMoreSevere Refusal = "worse"
	// RefusedBusy means that it refuses requests for want of slots, and that the requester is merely slow.
	RefusedBusy Refusal = "busy"
)

// Request requests a lease from a backend server.
type Request struct {
	// Requester is the backend server that requests the lease.
	Requester string `json:"asker"`
	// Number identifies the request among those of the same requester.
	Number uint64 `json:"number"`
	// Severity is the requester's severity; see detect.Verdict.
	Severity float64 `json:"severity"`
	// SuspectedFor is how long the requester has been under suspicion, in milliseconds.
	SuspectedFor int64 `json:"suspected_for_ms"`
	// Slow means that the requester is slow and shows no other symptom.
	Slow bool `json:"slow,omitempty"`
}

// Release returns a lease to its grantor.
type Release struct {
	// Holder is the backend server that holds the lease, Number that of the request it was granted for.
	Holder string `json:"asker"`
	Number uint64 `json:"number"`
}

// Config configures a Ledger.
type Config struct {
	// Name is the name of the backend server.
	Name string
	// Start is when its sidecar started.
	Start time.Time
	// FirstNumber is where the numbers of requests begin. It must differ between starts of the
	// sidecar, for instance by being random.
	FirstNumber uint64
}

// Ledger holds the leases that one backend server has granted and those that it holds.
type Ledger struct {
	config     Config
	lastNumber uint64
	unable     bool
	busy       bool
	ejected    bool
	requesting bool
	severity   float64
	granted    map[string]granted   // by holder
	held       map[string]time.Time // expiry by grantor
	withdrawn  map[string]bool      // grantors of held leases that refused to renew them with RefusedBusy
	requested  map[string]uint64    // number of the latest request by its recipient
}

// granted is a lease granted to another backend server.
type granted struct {
	number uint64
	until  time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(config Config) *Ledger {
	return &Ledger{
		config:     config,
		lastNumber: config.FirstNumber,
		granted:    make(map[string]granted),
		held:       make(map[string]time.Time),
		withdrawn:  make(map[string]bool),
		requested:  make(map[string]uint64),
	}
}

// SetUnable sets whether the backend server is draining, dead or cold, and therefore refuses
// requests. Leases already granted remain binding.
func (l *Ledger) SetUnable(unable bool) { l.unable = unable }

// SetBusy sets whether the backend server refuses requests for want of slots, and therefore refuses
// leases to those that are merely slow.
func (l *Ledger) SetBusy(busy bool) { l.busy = busy }

// Answer grants or refuses a lease to another backend server.
func (l *Ledger) Answer(now time.Time, r Request) Refusal {
	switch {
	case l.ejected:
		return RefusedEjected
	case l.unable:
		return RefusedUnable
	case l.requesting && l.hasPrecedence(r):
		return RefusedMoreSevere
	case l.busy && r.Slow:
		return RefusedBusy
	}
	l.granted[r.Requester] = granted{number: r.Number, until: now.Add(LeaseDuration)}
	return Granted
}

// hasPrecedence reports whether the backend server has precedence over a concurrent requester. The order
// prevents two servers from granting each other leases so that neither can be ejected.
func (l *Ledger) hasPrecedence(r Request) bool {
	if l.severity != r.Severity {
		return l.severity > r.Severity
	}
	return l.config.Name < r.Requester
}

// RecordRelease records that the holder has released a lease.
func (l *Ledger) RecordRelease(r Release) {
	if l.granted[r.Holder].number == r.Number {
		delete(l.granted, r.Holder)
	}
}

// BeginRequesting records that the backend server should be ejected and reports whether it may request
// leases now. It may not within one lease of its start or while a lease it granted is binding.
func (l *Ledger) BeginRequesting(now time.Time, severity float64) bool {
	l.requesting = now.Sub(l.config.Start) >= LeaseDuration && !l.hasBindingGrant(now)
	l.severity = severity
	return l.requesting
}

// NewRequest returns a new lease request to be sent to the named backend server.
func (l *Ledger) NewRequest(name string) Request {
	l.lastNumber++
	l.requested[name] = l.lastNumber
	return Request{Requester: l.config.Name, Number: l.lastNumber, Severity: l.severity}
}

// ReleaseAll ends the ejection or the attempt at it and returns the releases to send, by the name of
// the grantor.
func (l *Ledger) ReleaseAll() map[string]Release {
	l.requesting = false
	l.ejected = false
	return l.release(l.requested)
}

// hasBindingGrant reports whether a lease granted to another backend server is still binding.
func (l *Ledger) hasBindingGrant(now time.Time) bool {
	for holder, g := range l.granted {
		if now.Before(g.until) {
			return true
		}
		delete(l.granted, holder)
	}
	return false
}

// RecordGrant records that the named backend server granted the numbered request, which was sent at
// the given time.
func (l *Ledger) RecordGrant(number uint64, grantor string, requested time.Time) {
	if l.requested[grantor] == number {
		l.held[grantor] = requested.Add(LeaseDuration - LeaseDuration/DriftDivisor)
		delete(l.withdrawn, grantor)
	}
}

// RecordRefusal records that the named backend server refused the numbered request, and reports whether a
// held lease has to be replaced. A lease that it granted before counts until it expires, since it is
// binding until then, but after RefusedBusy for no longer than ReplaceTime.
func (l *Ledger) RecordRefusal(now time.Time, number uint64, name string, refusal Refusal) bool {
	if l.requested[name] != number {
		return false
	}
	if l.held[name].IsZero() {
		delete(l.requested, name)
		return false
	}
	if refusal != RefusedBusy || l.withdrawn[name] {
		return false
	}
	l.withdrawn[name] = true
	if until := now.Add(ReplaceTime); until.Before(l.held[name]) {
		l.held[name] = until
	}
	return true
}

// Eject ejects the backend server if it holds as many leases as the floor requires and no lease that
// it granted is binding. It reports whether it did.
func (l *Ledger) Eject(now time.Time, floor int) bool {
	if l.ejected || !l.requesting || l.hasBindingGrant(now) || l.countHeld(now) < floor {
		return false
	}
	l.ejected = true
	l.requesting = false
	return true
}

// MayStayEjected reports whether the backend server is ejected and still holds enough leases. If it
// does not, the ejection ends.
func (l *Ledger) MayStayEjected(now time.Time, floor int) bool {
	if !l.ejected {
		return false
	}
	if l.countHeld(now) < floor {
		l.ejected = false
	}
	return l.ejected
}

// Restrict drops the leases of all grantors that are not among the names, so that a backend server
// that is no longer declared does not count towards the floor.
func (l *Ledger) Restrict(names []string) {
	for name := range l.requested {
		if !slices.Contains(names, name) {
			l.drop(name)
		}
	}
}

// drop forgets the request to a backend server and the lease that it granted.
func (l *Ledger) drop(name string) {
	delete(l.requested, name)
	delete(l.held, name)
	delete(l.withdrawn, name)
}

// ReleaseSurplus keeps as many leases as the floor requires, preferred grantors first, and returns the releases
// to send for the others, by the name of the grantor.
func (l *Ledger) ReleaseSurplus(now time.Time, floor int, preferred func(name string) bool) map[string]Release {
	names := l.Grantors(now)
	if len(names) <= floor {
		return nil
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return l.preferenceRank(a, preferred) - l.preferenceRank(b, preferred)
	})
	surplus := make(map[string]uint64)
	for _, name := range names[floor:] {
		surplus[name] = l.requested[name]
	}
	return l.release(surplus)
}

// release drops the leases of the requests and returns their releases. Later replies to these
// requests are ignored.
func (l *Ledger) release(requests map[string]uint64) map[string]Release {
	releases := make(map[string]Release, len(requests))
	for name, number := range requests {
		releases[name] = Release{Holder: l.config.Name, Number: number}
	}
	for name := range releases {
		l.drop(name)
	}
	return releases
}

// preferenceRank returns 0 for a preferred grantor, 1 for another, and 2 for one that withdrew its lease.
func (l *Ledger) preferenceRank(name string, preferred func(name string) bool) int {
	switch {
	case l.withdrawn[name]:
		return 2
	case preferred(name):
		return 0
	default:
		return 1
	}
}

// Grantors returns the sorted names of the grantors of all current leases.
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

func (l *Ledger) countHeld(now time.Time) int {
	n := 0
	for _, until := range l.held {
		if now.Before(until) {
			n++
		}
	}
	return n
}
