// Package detect decides from live traffic whether a backend server is unhealthy.
//
// A Subject holds what one observer knows of one backend server. It takes observations and the
// time and returns verdicts; it has no clock, goroutine or socket. The sidecar keeps a Subject
// for each of its backend servers, which covers all traffic to that server. The ingress keeps a
// Group of Subjects for each service, which covers the traffic on its own network path. Both
// apply the same rules.
//
// # Usage
//
//	s := detect.NewSubject(detect.RulesOf(fleet.DetectionSwift))
//	s.Observe(now, detect.Observation{Outcome: detect.OK, Latency: 24 * time.Millisecond}, baseline)
//	verdict := s.Verdict(now)
//	if verdict.Unhealthy { s.Eject(now) }
//
// # From an observation to an ejection and back
//
//  1. Observation (OutcomeFromResponse, Subject.Observe). Each request is classified as failed
//     or not, and as slow or not. An overdue request counts as a failure before it ends.
//  2. Evidence (evidence.go). Two cumulative sums of log-likelihood ratios, one for failures and
//     one for slowness, compare two hypotheses: the backend server is unhealthy
//     (Rules.UnhealthyFailureRate, Rules.UnhealthySlowRate), or it behaves like the service's
//     other backend servers, whose recent rates are the Baseline. A sum never drops below zero.
//  3. Verdict (Subject.Verdict). The backend server is unhealthy if a sum reaches
//     Rules.Threshold, unless one of the guards below applies.
//  4. Confirmation (Subject.IsOutlier). The sidecar requests leases to keep serving from all
//     other backend servers of the service. Each reply carries a Summary of that server since
//     the suspicion began. The verdict is confirmed only if more servers did well than are
//     suspected themselves; otherwise the cause is assumed to be shared.
//  5. Ejection (Subject.Eject). With leases from as many other servers as the floor requires
//     (package floor), the server receives no work for Rules.EjectionTime, or longer if it was
//     ejected recently. The leases are renewed; if too few remain, the server is reinstated
//     immediately (Subject.Reinstate). A server that is merely slow gets none from servers that
//     refuse requests for want of slots.
//  6. Probation (Subject.ObserveProbation). After the ejection time the server receives one
//     idempotent request at a time. A failed or slow one ejects it again;
//     Rules.ProbationPasses consecutive good ones reinstate it.
//  7. Reinstatement (Subject.Reinstate, Subject.TrafficShare). The server starts without
//     evidence and receives a growing share of its slots during Rules.Ramp. A server that
//     responds well while suspected (package suspicion) is reinstated immediately with all of
//     its slots (Subject.ReinstateFully).
//
// The sidecar's part of each step is in internal/sidecar: slot.go makes observations, eject.go
// decides, lease.go manages the leases, and slots.go runs the probation. An ingress performs
// the same steps except 4 and 5: it ejects no server, but sends less traffic to one that is
// unhealthy on its path.
//
// There is no window to fill: at ten requests per minute three consecutive failures suffice,
// and at two thousand per second the same sum is reached within the minimum time span. The
// following guards prevent premature verdicts:
//
//   - Rules.IntervalCap bounds what one Rules.Interval adds, so that a short pause of the backend
//     server under high traffic counts as one event.
//   - The evidence must span at least Rules.MinSpan and contain at least Rules.MinBad bad
//     observations, which exceed the expected number by at least Rules.Deviations standard
//     deviations.
//   - The sum must exceed the median sum of the other servers by at least Rules.Threshold, and the
//     recent rate must exceed theirs by at least Rules.Margin, so that a shared cause ejects no
//     server.
//
// Rates are fractions from 0 to 1; sums are natural logarithms. The method is the cumulative
// sum test of E. S. Page, Continuous inspection schemes, Biometrika 41 (1954).
package detect

import "time"

// Outcome is the result of a request as an observer sees it.
type Outcome string

// Outcomes of a request.
const (
	// OK is a response that does not indicate a failure of the backend server.
	OK Outcome = "ok"
	// Error is a response that indicates a failure of the backend server.
	Error Outcome = "error"
	// TimedOut means that no response arrived before the deadline.
	TimedOut Outcome = "timed-out"
	// Overdue means that a running request has exceeded Rules.OverdueLimit. Its end is observed
	// separately, with WasOverdue set.
	Overdue Outcome = "overdue"
	// ConnectionRefused means that the connection was refused.
	ConnectionRefused Outcome = "refused"
	// ConnectionLost means that the connection broke before the response was complete.
	ConnectionLost Outcome = "lost"
)

// Cause is the main symptom of an unhealthy backend server.
type Cause string

// Causes of an unhealthy verdict.
const (
	CauseNone        Cause = ""
	CauseTimesOut    Cause = "times-out"
	CauseErrors      Cause = "errors"
	CauseSlow        Cause = "slow"
	CauseRefuses     Cause = "refuses"
	CauseUnreachable Cause = "unreachable"
)

// Observation is the end of one request, or the moment at which it becomes overdue.
type Observation struct {
	Outcome Outcome
	// Latency is the response time, without the wait for a slot.
	Latency time.Duration
	// WasOverdue reports that the request was already observed as overdue.
	WasOverdue bool
	// PastTarget reports that the response took longer than the route's latency target.
	PastTarget bool
	// Quick reports that the request was long and failed within a small part of its latency target.
	Quick bool
}

// failed reports whether the observation is a failure that has not been counted yet.
func (o Observation) failed() bool {
	return o.Outcome != OK && !o.WasOverdue
}

// Verdict is an observer's conclusion about a backend server.
type Verdict struct {
	// Unhealthy reports that the rules call for ejecting the backend server.
	Unhealthy bool
	// Cause is the main symptom; CauseNone unless Unhealthy.
	Cause Cause
	// Severity ranks unhealthy backend servers from 0 to 2, the worst highest.
	Severity float64
}

// Subject is one backend server as one observer sees it.
type Subject struct {
	rules      Rules
	failure    evidence
	slow       evidence
	causes     [causeCount]int
	latency    latency
	baseline   Baseline
	observed   int64
	failures   int64
	lastGoodAt time.Time // time of the last response that was not slow
	ejection   ejection
}

// NewSubject returns a subject without observations.
func NewSubject(rules Rules) *Subject {
	return &Subject{rules: rules, baseline: unknownBaseline}
}

// SetRules replaces the rules and keeps the observations.
func (s *Subject) SetRules(rules Rules) { s.rules = rules }

// Observe records one observation. The baseline others describes the service's other backend
// servers; if it is unknown, the last known one remains in effect.
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
		s.failure.add(now, failed, s.baseline.failure(), s.rules.UnhealthyFailureRate, s.rules)
	}
	if o.Outcome == OK {
		s.observeLatency(now, o.Latency)
	}
	if s.failure.sum == 0 {
		s.causes = [causeCount]int{}
	}
}

// FailureRate returns the fraction of recent requests that failed.
func (s *Subject) FailureRate() float64 { return s.failure.baselineRate() }

func (s *Subject) observeLatency(now time.Time, responseTime time.Duration) {
	s.latency.add(responseTime)
	if s.baseline.TypicalLatency == 0 {
		s.lastGoodAt = now
		return
	}
	slow := responseTime > s.rules.slowLimit(s.baseline.TypicalLatency)
	if !slow {
		s.lastGoodAt = now
	}
	s.slow.add(now, slow, s.baseline.slow(), s.rules.UnhealthySlowRate, s.rules)
}

// Verdict returns the conclusion from the observations so far.
func (s *Subject) Verdict(now time.Time) Verdict {
	severity := s.failure.rate + s.slow.rate
	switch {
	case s.failure.isSufficient(now, s.baseline.failure(), s.baseline.FailureSum, s.rules):
		return Verdict{Unhealthy: true, Cause: s.mainCause(), Severity: severity}
	case s.slow.isSufficient(now, s.baseline.slow(), s.baseline.SlowSum, s.rules):
		return Verdict{Unhealthy: true, Cause: CauseSlow, Severity: severity}
	default:
		return Verdict{Severity: severity}
	}
}

// resetEvidence discards the evidence, so that the subject starts anew after an absence.
func (s *Subject) resetEvidence() {
	s.failure = evidence{}
	s.slow = evidence{}
	s.causes = [causeCount]int{}
}

// causeCount is the number of causes that failures are counted by, in the order of causeNames.
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

// mainCause returns the most frequent cause of the failures.
func (s *Subject) mainCause() Cause {
	mostFrequent := 0
	for i, n := range s.causes {
		if n > s.causes[mostFrequent] {
			mostFrequent = i
		}
	}
	return causeNames[mostFrequent]
}
