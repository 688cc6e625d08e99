package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
)

// Target is one backend server of a pool.
type Target struct {
	// Name is the backend server's name.
	Name string

	affinity         uint64 // rank among the targets that the daemon prefers
	placement        atomic.Pointer[fleet.Placement]
	inFlight         atomic.Int64
	loadBits         atomic.Uint64
	loadAt           atomic.Int64 // nanoseconds since the pool's start
	failureShareBits atomic.Uint64
	failureShareAt   atomic.Int64 // nanoseconds since the pool's start; zero if never reported
	pausedUntil      atomic.Int64 // nanoseconds since the pool's start
	suspectedUntil   atomic.Int64 // nanoseconds since the pool's start
	share            atomic.Uint32
	probation        atomic.Uint32
	baseline         atomic.Pointer[baseline]  // nil if that of the pool applies
	poolBaseline     *atomic.Pointer[baseline] // of targets without one of their own
	limitBits        atomic.Uint64             // limit that the backend server names; zero if none
	requests         atomic.Int64
	failures         atomic.Int64
}

// Placement returns the backend server's placement in the current declaration.
func (t *Target) Placement() *fleet.Placement { return t.placement.Load() }

// Begin counts a request that is sent to the target.
func (t *Target) Begin() {
	t.inFlight.Add(1)
	t.requests.Add(1)
}

// End counts the end of a request.
func (t *Target) End() { t.inFlight.Add(-1) }

// RecordFailure counts a failed request.
func (t *Target) RecordFailure() { t.failures.Add(1) }

// InFlight returns the number of requests in flight.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Requests returns the number of requests sent to the target.
func (t *Target) Requests() int64 { return t.requests.Load() }

// Failures returns the number of requests that failed.
func (t *Target) Failures() int64 { return t.failures.Load() }

// Load returns the last reported load.
func (t *Target) Load() float64 { return math.Float64frombits(t.loadBits.Load()) }

// RecordServerLimit records the limit that the backend server named last, in requests a second; zero if none.
func (t *Target) RecordServerLimit(perSecond float64) { t.limitBits.Store(math.Float64bits(perSecond)) }

// ServerLimit returns the limit that the backend server named last.
func (t *Target) ServerLimit() float64 { return math.Float64frombits(t.limitBits.Load()) }

// SetShare sets the share of its part of the requests that the target gets, up to FullShare.
func (t *Target) SetShare(share uint32) { t.share.Store(share) }

// Share returns the target's share.
func (t *Target) Share() uint32 { return t.share.Load() }

// baseline describes the service's other backend servers.
type baseline struct {
	text           string // encoded
	typicalLatency time.Duration
}

// SetBaseline sets the encoded baseline of the service's other backend servers, which is sent
// to the target's sidecar with requests, and their typical latency.
func (t *Target) SetBaseline(text string, typicalLatency time.Duration) {
	t.baseline.Store(&baseline{text, typicalLatency})
}

// currentBaseline returns the target's own baseline, or else that of the pool.
func (t *Target) currentBaseline() baseline {
	if own := t.baseline.Load(); own != nil {
		return *own
	}
	if common := t.poolBaseline.Load(); common != nil {
		return *common
	}
	return baseline{}
}

// TypicalLatency returns the typical latency of the other backend servers; zero if it is not
// known.
func (t *Target) TypicalLatency() time.Duration { return t.currentBaseline().typicalLatency }

// Baseline returns the encoded baseline of the other backend servers; empty if it is not known.
func (t *Target) Baseline() string { return t.currentBaseline().text }

// The values of a target's probation.
const (
	probationNone uint32 = iota
	probationOpen
	probationTaken
)

// OpenProbation allows one idempotent request to the target, which otherwise gets none.
func (t *Target) OpenProbation() { t.probation.Store(probationOpen) }

// CloseProbation allows no further probation request.
func (t *Target) CloseProbation() { t.probation.Store(probationNone) }

// cost orders targets by load: the last reported load, weighted by its age, or the load of the
// requests that this daemon has in flight, whichever is higher.
func (t *Target) cost(elapsed int64) float64 {
	slots := float64(t.placement.Load().BackendServer.Slots)
	age := float64(elapsed-t.loadAt.Load()) / float64(loadDecay)
	load := t.Load() * math.Max(0, 1-age)
	return math.Max(load, float64(t.inFlight.Load())/slots)
}
