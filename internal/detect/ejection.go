package detect

import (
	"math"
	"time"
)

// State is where a subject stands.
type State string

// The states.
const (
	// Serving gets work; after a return at first a growing share.
	Serving State = "serving"
	// Ejected gets none until its ejection time ends.
	Ejected State = "ejected"
	// Probation gets one idempotent request at a time.
	Probation State = "trial"
)

// leastShare is the share of its work that a subject gets right after its return. Not measured:
// a tenth of the slots, and at least one, is enough to show how it does.
const leastShare = 0.1

// ejection is whether and for how long a subject is ejected, and how it comes back.
type ejection struct {
	ejected  bool
	began    time.Time // when it was ejected
	until    time.Time // when its probation begins
	level    float64   // how often the ejection time doubles, less what EjectionMemory took back
	passes   int       // good answers of its probation
	returned time.Time // when it last came back with a growing share
	serving  time.Time // from when on it has served since it was ejected
	cause    Cause
	decided  Explanation // the evidence on which it was ejected
}

// Eject takes the subject out of service for its ejection time.
func (s *Subject) Eject(now time.Time) {
	x := &s.ejection
	if !x.ejected {
		x.forgetLevel(now, s.rules.EjectionMemory)
		x.decided = s.evidenceNow()
	}
	length := time.Duration(float64(s.rules.EjectionTime) * math.Exp2(x.level))
	x.ejected = true
	x.began = now
	x.until = now.Add(min(length, s.rules.EjectionTimeMax))
	x.level++
	x.passes = 0
	if verdict := s.Verdict(now); verdict.Unhealthy {
		x.cause = verdict.Cause
	}
	s.forget()
}

// forgetLevel takes back one doubling of the ejection time for each time of that length in service. A failed
// probation takes nothing back: the subject has not served since its ejection.
func (x *ejection) forgetLevel(now time.Time, memory time.Duration) {
	if x.serving.IsZero() {
		return
	}
	x.level = math.Max(0, x.level-float64(now.Sub(x.serving))/float64(memory))
}

// State returns where the subject stands.
func (s *Subject) State(now time.Time) State {
	switch {
	case !s.ejection.ejected:
		return Serving
	case now.Before(s.ejection.until):
		return Ejected
	default:
		return Probation
	}
}

// EjectedFor returns how long the subject still stays ejected before its probation.
func (s *Subject) EjectedFor(now time.Time) time.Duration {
	return max(0, s.ejection.until.Sub(now))
}

// ObserveProbation takes the outcome of a probation request and reports whether the subject has
// returned. A failure, or a slow answer, ejects it again.
func (s *Subject) ObserveProbation(now time.Time, o Observation, others Baseline) bool {
	if others.known() {
		s.baseline = others
	}
	slow := s.baseline.TypicalLatency > 0 && o.Latency > s.rules.slowLimit(s.baseline.TypicalLatency)
	if o.Outcome != OK || slow {
		s.Eject(now)
		return false
	}
	s.ejection.passes++
	if s.ejection.passes < s.rules.ProbationPasses {
		return false
	}
	s.Reinstate(now)
	return true
}

// Reinstate puts the subject back in service.
func (s *Subject) Reinstate(now time.Time) {
	s.ejection.ejected = false
	s.ejection.returned = now
	s.ejection.serving = now
	s.ejection.cause = CauseNone
	s.forget()
}

// ReinstateFully puts the subject back in service with its whole share, on proof from
// elsewhere that it is well.
func (s *Subject) ReinstateFully(now time.Time) {
	s.ejection.ejected = false
	s.ejection.serving = now
	s.ejection.cause = CauseNone
	s.forget()
}

// TrafficShare returns the part of its work that the subject should get, from 0 to 1:
// after a return it grows to 1 over the ramp.
func (s *Subject) TrafficShare(now time.Time) float64 {
	if s.ejection.ejected {
		return 0
	}
	if s.ejection.returned.IsZero() {
		return 1
	}
	grown := float64(now.Sub(s.ejection.returned)) / float64(s.rules.Ramp)
	return math.Min(1, math.Max(leastShare, grown))
}
