// Package detect decides from real traffic whether a backend server is sick.
//
// A Subject is the aggregate of one backend server as one observer sees it. It
// takes observations and the time and gives verdicts; it has no clock,
// goroutine or socket. The sidecar keeps one for each of its backend servers
// (what it does to everyone), the ingress a Group of them for each service (how
// it looks on the path from here). Both run the same rules.
//
// # Usage
//
//	s := detect.NewSubject(detect.RulesOf(fleet.DetectionSwift))
//	s.Observe(now, detect.Observation{Outcome: detect.OK, Took: 24 * time.Millisecond}, baseline)
//	verdict := s.Verdict(now)
//	if verdict.Sick { s.Eject(now) }
//
// # From an observation to an ejection and back
//
//  1. Observation (FromAnswer, FromResult, Subject.Observe). Each is a failure or not, and slow
//     or not. A request that is overdue counts as a failure before it ends.
//  2. Evidence (evidence.go). For failures and slowness apart a cumulative sum of
//     log-likelihood ratios weighs "as sick as SickFailure or SickSlow" against "like the
//     service's others", whose recent rates are the Baseline. It never falls below zero.
//  3. Verdict (Subject.Verdict). Sick is whose sum passes Threshold, unless a guard below says
//     otherwise.
//  4. Confirmation (Subject.IsOutlier). The sidecar asks all other backend servers of the service
//     for leases to keep serving, and learns how they do since the suspicion began. More did
//     well than are suspects themselves, or the cause is taken for one that they share.
//  5. Ejection (Subject.Eject). With leases from as many others as the floor says (package
//     floor) it takes no work for EjectionTime, longer if it was ejected of late. Leases are
//     renewed; if too few are left it returns at once (Subject.Return).
//  6. Probation (Subject.ObserveProbation). Then it gets one idempotent request at a time. A failed or slow
//     one ejects it again; ProbationPasses good ones in a row return it.
//  7. Return (Subject.Return, Subject.Share). It begins without evidence, and gets a growing
//     part of its slots during Ramp. One that answers well while suspected (package suspicion)
//     returns at once with all of them (Subject.Restore).
//
// What the sidecar does at each step is in internal/sidecar: slot.go observes, eject.go asks
// and decides, lease.go keeps the leases, slots.go has the probation. An ingress takes the same
// steps without 4 and 5: it ejects nobody, but sends a backend server that looks sick on its
// path less.
//
// No window has to fill: at ten requests a minute three failures in a row are enough, and at
// two thousand a second the same sum fills within the shortest time allowed. Guards against
// deciding too soon:
//
//   - What one Interval adds is bounded by IntervalCap, so that a short pause of the backend
//     server under much traffic counts as one event, not as many.
//   - The evidence must span MinSpan and MinBad observations, and be Deviations away from
//     chance.
//   - The sum must pass Threshold by as much as the others' sums have risen, and the recent
//     rate must be above theirs by Margin, so that a cause that all share ejects nobody.
//
// The figures, with the measurements behind them, are in rules.go.
//
// Units: rates are shares from 0 to 1; sums are natural logarithms. Source of
// the method: E. S. Page, Continuous inspection schemes, Biometrika 41 (1954).
package detect

import "time"

// Outcome is how a request ended, as an observer sees it.
type Outcome string

// The outcomes.
const (
	// OK is an answer, whatever it says to the caller.
	OK Outcome = "ok"
	// Error is an answer that says that the backend server failed.
	Error Outcome = "error"
	// TimedOut is no answer by the deadline.
	TimedOut Outcome = "timed-out"
	// Overdue is no answer yet, long after others would have given one. The
	// request's end is observed too, with WasOverdue set.
	Overdue Outcome = "overdue"
	// ConnectionRefused is a refused connection.
	ConnectionRefused Outcome = "refused"
	// ConnectionLost is a connection that broke before the answer was whole.
	ConnectionLost Outcome = "lost"
)

// Cause says what a sick backend server does.
type Cause string

// The causes.
const (
	CauseNone        Cause = ""
	CauseTimesOut    Cause = "times-out"
	CauseErrors      Cause = "errors"
	CauseSlow        Cause = "slow"
	CauseRefuses     Cause = "refuses"
	CauseUnreachable Cause = "unreachable"
)

// Observation is one request's end, or that it is overdue.
type Observation struct {
	Outcome Outcome
	// Latency is how long the answer took, without the wait for a slot.
	Latency time.Duration
	// WasOverdue says that the request was observed as overdue before.
	WasOverdue bool
	// PastTarget says that the answer took longer than the route's target.
	PastTarget bool
}

// failed reports whether the observation is a failure that was not counted yet.
func (o Observation) failed() bool {
	return o.Outcome != OK && !o.WasOverdue
}

// Verdict is what an observer concludes.
type Verdict struct {
	// Unhealthy says that the rules would eject the backend server.
	Unhealthy bool
	// Cause says what it does; CauseNone unless Sick.
	Cause Cause
	// Severity orders the sick, the worst with the highest; 0 to 2.
	Severity float64
}

// Subject is one backend server as one observer sees it.
type Subject struct {
	rules    Rules
	failure  evidence
	slow     evidence
	causes   [causeCount]int
	latency  latency
	baseline Baseline
	observed int64
	failures int64
	lastGood time.Time // when it last gave an answer in good time
	ejection ejection
}

// NewSubject returns a subject of which nothing is known.
func NewSubject(rules Rules) *Subject {
	return &Subject{rules: rules, baseline: unknownBaseline}
}

// SetRules changes the rules. What was observed stays.
func (s *Subject) SetRules(rules Rules) { s.rules = rules }

// Observe takes one observation and how the service's others do.
func (s *Subject) Observe(now time.Time, o Observation, others Baseline) {
	if others.known() {
		s.baseline = others
	}
	s.observed++
	failed := o.failed()
	if failed {
		s.failures++
		s.causes[causeIndex(o.Outcome)]++
	}
	if !o.WasOverdue {
		s.failure.add(now, failed, s.baseline.failure(), s.rules.SickFailure, s.rules)
	}
	if o.Outcome == OK {
		s.observeLatency(now, o.Latency)
	}
	if s.failure.sum == 0 {
		s.causes = [causeCount]int{}
	}
}

// FailureRate returns the share of the recent requests that failed.
func (s *Subject) FailureRate() float64 { return s.failure.normal() }

func (s *Subject) observeLatency(now time.Time, took time.Duration) {
	s.latency.add(took)
	if s.baseline.TypicalLatency == 0 {
		s.lastGood = now
		return
	}
	slow := took > s.rules.slowLimit(s.baseline.TypicalLatency)
	if !slow {
		s.lastGood = now
	}
	s.slow.add(now, slow, s.baseline.slow(), s.rules.SickSlow, s.rules)
}

// Verdict returns what the observations so far amount to.
func (s *Subject) Verdict(now time.Time) Verdict {
	severity := s.failure.rate + s.slow.rate
	switch {
	case s.failure.convinces(now, s.baseline.failure(), s.baseline.FailureSum, s.rules):
		return Verdict{Unhealthy: true, Cause: s.mainCause(), Severity: severity}
	case s.slow.convinces(now, s.baseline.slow(), s.baseline.SlowSum, s.rules):
		return Verdict{Unhealthy: true, Cause: CauseSlow, Severity: severity}
	default:
		return Verdict{Severity: severity}
	}
}

// forget drops the evidence, for a new start after an absence.
func (s *Subject) forget() {
	s.failure = evidence{}
	s.slow = evidence{}
	s.causes = [causeCount]int{}
}

// causes are counted by kind, in the order of their names below.
const causeCount = 4

var causeNames = [causeCount]Cause{CauseTimesOut, CauseErrors, CauseRefuses, CauseUnreachable}

func causeIndex(o Outcome) int {
	switch o {
	case Error:
		return 1
	case ConnectionRefused:
		return 2
	case ConnectionLost:
		return 3
	case OK, TimedOut, Overdue:
		return 0
	}
	return 0
}

// mainCause returns what most of the failures were.
func (s *Subject) mainCause() Cause {
	most := 0
	for i, n := range s.causes {
		if n > s.causes[most] {
			most = i
		}
	}
	return causeNames[most]
}
