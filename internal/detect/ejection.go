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

// hold is how long a subject stays ejected and how it comes back.
type ejection struct {
	ejected  bool
	began    time.Time // when it was ejected
	until    time.Time // when its probation begins
	level    float64   // how often it was ejected of late
	passes   int       // good answers of its probation
	returned time.Time // when it last came back
	cause    Cause
	decided  Explanation // the evidence on which it was ejected
}

// Eject takes the subject out of service for its ejection time.
func (s *Subject) Eject(now time.Time) {
	h := &s.ejection
	if !h.returned.IsZero() {
		h.level = math.Max(0, h.level-float64(now.Sub(h.returned))/float64(s.rules.EjectionMemory))
	}
	if !h.ejected {
		h.decided = s.evidenceNow()
	}
	length := time.Duration(float64(s.rules.EjectionTime) * math.Exp2(h.level))
	h.ejected = true
	h.began = now
	h.until = now.Add(min(length, s.rules.EjectionTimeMax))
	h.level++
	h.passes = 0
	if verdict := s.Verdict(now); verdict.Sick {
		h.cause = verdict.Cause
	}
	s.forget()
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

// Try takes the outcome of a probation request and says whether the subject has
// come back. A failure ejects it again, for longer.
func (s *Subject) Try(now time.Time, o Observation, others Baseline) bool {
	if others.known() {
		s.baseline = others
	}
	slow := s.baseline.Typical > 0 && o.Took > s.rules.slowLimit(s.baseline.Typical)
	if o.Outcome != OK || slow {
		s.Eject(now)
		return false
	}
	s.ejection.passes++
	if s.ejection.passes < s.rules.ProbationPasses {
		return false
	}
	s.Return(now)
	return true
}

// Return puts the subject back in service.
func (s *Subject) Return(now time.Time) {
	s.ejection.ejected = false
	s.ejection.returned = now
	s.ejection.cause = CauseNone
	s.forget()
}

// Restore puts the subject back in service with its whole share, on proof from
// elsewhere that it is well.
func (s *Subject) Restore() {
	s.ejection.ejected = false
	s.ejection.cause = CauseNone
	s.forget()
}

// Share returns the part of its work that the subject should get, from 0 to 1:
// after a return it grows to 1 over the ramp.
func (s *Subject) Share(now time.Time) float64 {
	if s.ejection.ejected {
		return 0
	}
	if s.ejection.returned.IsZero() {
		return 1
	}
	const least = 0.1
	grown := float64(now.Sub(s.ejection.returned)) / float64(s.rules.Ramp)
	return math.Min(1, math.Max(least, grown))
}
