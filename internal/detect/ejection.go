package detect

import (
	"math"
	"time"
)

// State is the service state of a subject.
type State string

// States of a subject.
const (
	// Serving receives work, a growing share of it after a reinstatement.
	Serving State = "serving"
	// Ejected receives no work until its ejection time ends.
	Ejected State = "ejected"
	// Probation receives one idempotent request at a time.
	Probation State = "trial"
)

// minTrafficShare is the traffic share of a subject immediately after its reinstatement.
const minTrafficShare = 0.1

// ejection is the ejection state of a subject and its history.
type ejection struct {
	ejected          bool
	startedAt        time.Time // start of the ejection
	endsAt           time.Time // start of the probation
	doublings        float64   // doublings of the ejection time, reduced by time in service
	passes           int       // consecutive good responses during probation
	reinstatedAt     time.Time // last reinstatement with a growing share
	servingSince     time.Time // start of service after the last ejection; zero if never ejected
	cause            Cause
	decidingEvidence Explanation // evidence that caused the ejection
}

// Eject takes the subject out of service for its ejection time. The time doubles with each
// further ejection.
func (s *Subject) Eject(now time.Time) {
	x := &s.ejection
	if !x.ejected {
		x.decayDoublings(now, s.rules.EjectionMemory)
		x.decidingEvidence = s.evidenceNow()
	}
	duration := time.Duration(float64(s.rules.EjectionTime) * math.Exp2(x.doublings))
	x.ejected = true
	x.startedAt = now
	x.endsAt = now.Add(min(duration, s.rules.EjectionTimeMax))
	x.doublings++
	x.passes = 0
	if verdict := s.Verdict(now); verdict.Unhealthy {
		x.cause = verdict.Cause
	}
	s.resetEvidence()
}

// decayDoublings removes one doubling of the ejection time for each memory period in service. A failed
// probation removes nothing: the subject has not served since its ejection.
func (x *ejection) decayDoublings(now time.Time, memory time.Duration) {
	if x.servingSince.IsZero() {
		return
	}
	x.doublings = math.Max(0, x.doublings-float64(now.Sub(x.servingSince))/float64(memory))
}

// State returns the subject's state.
func (s *Subject) State(now time.Time) State {
	switch {
	case !s.ejection.ejected:
		return Serving
	case now.Before(s.ejection.endsAt):
		return Ejected
	default:
		return Probation
	}
}

// EjectedFor returns the remaining ejection time before the probation.
func (s *Subject) EjectedFor(now time.Time) time.Duration {
	return max(0, s.ejection.endsAt.Sub(now))
}

// ObserveProbation records the outcome of a probation request and reports whether the subject was
// reinstated. A failure or a slow response ejects it again.
func (s *Subject) ObserveProbation(now time.Time, o Observation, others Baseline) bool {
	if others.known() {
		s.baseline = others
	}
	slow := s.baseline.TypicalLatency > 0 && o.Latency > s.rules.slowLimit(s.baseline.TypicalLatency)
	if o.Outcome != OK {
		s.ejection.cause = causeNames[causeIndex(o.Outcome)]
	}
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

// Cause returns the main symptom of a subject that is ejected or unhealthy.
func (s *Subject) Cause(now time.Time) Cause {
	if s.ejection.ejected {
		return s.ejection.cause
	}
	return s.Verdict(now).Cause
}

// Reinstate puts the subject back in service with a growing traffic share.
func (s *Subject) Reinstate(now time.Time) {
	s.ejection.ejected = false
	s.ejection.reinstatedAt = now
	s.ejection.servingSince = now
	s.ejection.cause = CauseNone
	s.resetEvidence()
}

// ReinstateFully puts the subject back in service with its full traffic share, after other evidence has
// shown that it is healthy.
func (s *Subject) ReinstateFully(now time.Time) {
	s.ejection.ejected = false
	s.ejection.servingSince = now
	s.ejection.cause = CauseNone
	s.resetEvidence()
}

// TrafficShare returns the fraction of its work that the subject should receive, from 0 to 1. After a
// reinstatement it grows to 1 over Rules.Ramp.
func (s *Subject) TrafficShare(now time.Time) float64 {
	if s.ejection.ejected {
		return 0
	}
	if s.ejection.reinstatedAt.IsZero() {
		return 1
	}
	share := float64(now.Sub(s.ejection.reinstatedAt)) / float64(s.rules.Ramp)
	return math.Min(1, math.Max(minTrafficShare, share))
}
