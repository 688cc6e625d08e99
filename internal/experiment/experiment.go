// Package experiment names the mechanisms that the settings can switch off, to measure what each
// is worth.
//
// Each of them makes answers faster, likelier or cheaper. None is needed for a guarantee: what
// runs at most once, what "not run" means, the floor, the retry limit and what a planned stop
// finishes cannot be switched off.
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
// `make ablate` plays days with each of them switched off in turn.
package experiment

import "slices"

// Mechanism is the name of a mechanism.
type Mechanism string

// The mechanisms.
const (
	// Hedges sends a slow idempotent request to another backend server too.
	Hedges Mechanism = "hedges"
	// Compression compresses bytes between data centres.
	Compression Mechanism = "compression"
	// Subrequests learns which routes backend servers call, and serves their requests first.
	Subrequests Mechanism = "subrequests"
	// LatencyTargets refuses a request in a crowded queue that would miss its latency target.
	LatencyTargets Mechanism = "aims"
	// Suspicion asks a backend server last at the first sign of failing.
	Suspicion Mechanism = "suspicion"
	// HangChecks sends requests that must not be lost elsewhere than to a backend server that
	// seems to hang.
	HangChecks Mechanism = "hang-checks"
)

// All returns every mechanism.
func All() []Mechanism {
	return []Mechanism{Hedges, Compression, Subrequests, LatencyTargets, Suspicion, HangChecks}
}

// Off are the mechanisms that are switched off.
type Off []Mechanism

// Has reports whether the mechanism is switched off.
func (o Off) Has(m Mechanism) bool { return slices.Contains(o, m) }
