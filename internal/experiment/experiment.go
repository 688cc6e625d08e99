// Package experiment names the mechanisms that can be switched off, to measure what each is
// worth.
//
// Each of them makes answers sooner, likelier or cheaper. None keeps a promise: what runs at
// most once, what "not run" means, the floor, the retry limit and what a planned stop leaves
// cannot be switched off.
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
	// Compression packs bytes between data centres.
	Compression Mechanism = "compression"
	// Subrequests learns what backend servers call, and serves that first.
	Subrequests Mechanism = "subrequests"
	// Aims refuses in a crowded queue what would come too late for its latency target.
	Aims Mechanism = "aims"
	// Suspicion asks a backend server last at the first sign of failing.
	Suspicion Mechanism = "suspicion"
	// HangChecks keeps what must not be lost from where requests seem to hang.
	HangChecks Mechanism = "hang-checks"
)

// All returns every mechanism.
func All() []Mechanism {
	return []Mechanism{Hedges, Compression, Subrequests, Aims, Suspicion, HangChecks}
}

// Off are the mechanisms that are switched off.
type Off []Mechanism

// Has says whether the mechanism is switched off.
func (o Off) Has(m Mechanism) bool { return slices.Contains(o, m) }
