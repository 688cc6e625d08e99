// Package experiment names the mechanisms that the settings can disable, to measure the effect of
// each.
//
// Each mechanism makes responses faster, more likely to succeed or cheaper. No guarantee depends on
// them: at-most-once execution, the meaning of "not run", the floor, the retry limit and the requests
// that a planned stop finishes cannot be disabled.
//
// # Usage
//
//	experiments:
//	  off: [hedges]
//
// in the settings of every daemon of a fleet, and in the code
//
//	if !config.Off.Has(experiment.Hedges) { ... }
//
// `make ablate` simulates days with each of them disabled in turn.
package experiment

import "slices"

// Mechanism is the name of a mechanism.
type Mechanism string

// The mechanisms.
const (
	// Hedges sends a slow idempotent request to a second backend server as well.
	Hedges Mechanism = "hedges"
	// Compression compresses traffic between data centres.
	Compression Mechanism = "compression"
	// Subrequests learns which routes backend servers call, and serves their requests first.
	Subrequests Mechanism = "subrequests"
	// LatencyTargets refuses requests in a crowded queue that would miss their latency target.
	LatencyTargets Mechanism = "aims"
	// Suspicion ranks a backend server last at the first sign of failure.
	Suspicion Mechanism = "suspicion"
	// HangChecks routes requests that must not be lost away from a backend server that seems to hang.
	HangChecks Mechanism = "hang-checks"
)

// All returns all mechanisms.
func All() []Mechanism {
	return []Mechanism{Hedges, Compression, Subrequests, LatencyTargets, Suspicion, HangChecks}
}

// Off lists the disabled mechanisms.
type Off []Mechanism

// Has reports whether the mechanism is disabled.
func (o Off) Has(m Mechanism) bool { return slices.Contains(o, m) }
