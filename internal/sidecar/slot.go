package sidecar

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// slot is the right to run one request, and observes the outcome. It is used by one goroutine,
// except for the overdue timer.
type slot struct {
	server        *server
	trial         string // fingerprint of the quarantined request whose trial it is for; empty for others
	probation     bool
	others        detect.Baseline
	latencyTarget time.Duration // latency target of the route; zero if unknown
	long          bool          // the rules for long requests apply
	slowAfter     time.Duration // how long the request runs before it counts as slow; zero if unknown
	granted       time.Time
	waited        time.Duration // until it was granted
	started       time.Time     // zero until the request is sent
	overdue       *time.Timer
	watch         slowWatch
	wasOverdue    atomic.Bool
	// isEvidence reports whether the observation reflects on the backend server.
	isEvidence  bool
	observation detect.Observation
}

// begin starts the request's timers.
func (s *slot) begin(others detect.Baseline, call hop.Call) {
	s.latencyTarget = call.LatencyTarget
	s.long = isLong(s.server.longLatencyTarget, call)
	s.slowAfter = call.SlowAfter
	s.others = others
	s.started = time.Now()
	s.watch.begin(s.server, call.SlowAfter)
	limit := s.server.declared.Load().rules.OverdueLimit(others.TypicalLatency)
	if limit > 0 {
		s.overdue = time.AfterFunc(limit, s.reportOverdue)
	}
}

func (s *slot) reportOverdue() {
	s.wasOverdue.Store(true)
	s.server.send(observeMessage{observation: detect.Observation{Outcome: detect.Overdue}, others: s.others})
}

// answered records the outcome from the head of the answer.
func (s *slot) answered(response *http.Response) {
	s.observation.Outcome, s.isEvidence = detect.OutcomeFromResponse(response)
	s.finish()
}

// failed records a failure.
func (s *slot) failed(failure *result.Error) {
	s.observation.Outcome, s.isEvidence = failures.Evidence(failure.Code)
	if failure.Code.Number == result.CallerGone.Number && s.isSlow() {
		s.observation.Outcome, s.isEvidence = detect.TimedOut, true // the caller gave up only after the request had become slow
	}
	s.finish()
}

// isSlow reports whether the request has run longer than nearly all others of its route.
func (s *slot) isSlow() bool { return s.slowAfter > 0 && time.Since(s.started) >= s.slowAfter }

func (s *slot) finish() {
	s.observation.Latency = time.Since(s.started)
	if s.overdue != nil {
		s.overdue.Stop()
	}
	s.watch.end()
	s.observation.WasOverdue = s.wasOverdue.Load()
	s.observation.PastTarget = s.latencyTarget > 0 && s.observation.Latency > s.latencyTarget
	s.recordQuick()
	if s.isEvidence && !s.probation {
		s.server.send(observeMessage{observation: s.observation, others: s.others})
	}
}

// release returns the slot.
func (s *slot) release() {
	var took time.Duration
	if !s.started.IsZero() {
		took = time.Since(s.started)
	}
	s.server.slotTime.add(s.use(), time.Since(s.granted))
	s.server.send(releaseMessage{took: took, probation: s.probation, isEvidence: s.isEvidence, observation: s.observation, others: s.others})
}
