package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
)

// Target is one backend server as a choice.
type Target struct {
	// Name is the backend server's name.
	Name string

	placement    atomic.Pointer[fleet.Placement]
	inFlight     atomic.Int64
	loadBits     atomic.Uint64
	reported     atomic.Int64 // nanoseconds since the pool's start
	failingBits  atomic.Uint64
	failingAt    atomic.Int64 // nanoseconds since the pool's start; zero if it was never reported
	pausedUntil  atomic.Int64 // nanoseconds since the pool's start
	suspectUntil atomic.Int64 // nanoseconds since the pool's start
	share        atomic.Uint32
	probation    atomic.Uint32
	baseline     atomic.Pointer[string]
	typical      atomic.Int64
	requests     atomic.Int64
	failures     atomic.Int64
}

// Placement returns the target's place in the declaration in force.
func (t *Target) Placement() fleet.Placement { return *t.placement.Load() }

// Begin counts a request that is on its way to the target.
func (t *Target) Begin() {
	t.inFlight.Add(1)
	t.requests.Add(1)
}

// End counts the request's answer.
func (t *Target) End() { t.inFlight.Add(-1) }

// RecordFailure counts a failure.
func (t *Target) RecordFailure() { t.failures.Add(1) }

// InFlight returns the requests on their way.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Requests returns how many requests were sent to the target.
func (t *Target) Requests() int64 { return t.requests.Load() }

// Failures returns how many of them failed.
func (t *Target) Failures() int64 { return t.failures.Load() }

// Load returns the load last reported.
func (t *Target) Load() float64 { return math.Float64frombits(t.loadBits.Load()) }

// SetShare sets how much of its part of the work the target gets, up to
// FullShare.
func (t *Target) SetShare(share uint32) { t.share.Store(share) }

// Share returns the target's share.
func (t *Target) Share() uint32 { return t.share.Load() }

// SetBaseline sets what is sent along to the target's sidecar on how the
// service's others do, and how long those typically take.
func (t *Target) SetBaseline(text string, typical time.Duration) {
	t.baseline.Store(&text)
	t.typical.Store(int64(typical))
}

// TypicalLatency returns how long the others typically take; zero if it is not known.
func (t *Target) TypicalLatency() time.Duration { return time.Duration(t.typical.Load()) }

// Baseline returns what SetBaseline set.
func (t *Target) Baseline() string {
	if text := t.baseline.Load(); text != nil {
		return *text
	}
	return ""
}

// The values of a target's probation.
const (
	probationNone uint32 = iota
	probationOpen
	probationTaken
)

// OpenProbation lets one idempotent request be sent to the target, which otherwise
// gets none.
func (t *Target) OpenProbation() { t.probation.Store(probationOpen) }

// CloseProbation lets no more be sent.
func (t *Target) CloseProbation() { t.probation.Store(probationNone) }

// cost orders targets: the load reported last, as far as it still counts, or
// what this daemon alone has on its way, whichever is more.
func (t *Target) cost(since int64) float64 {
	slots := float64(t.placement.Load().BackendServer.Slots)
	age := float64(since-t.reported.Load()) / float64(loadCounts)
	load := t.Load() * math.Max(0, 1-age)
	return math.Max(load, float64(t.inFlight.Load())/slots)
}
