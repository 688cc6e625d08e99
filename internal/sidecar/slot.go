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

// slot is the right to run one request, and observes how it went. It is used by one goroutine,
// but for the overdue timer.
type slot struct {
	server     *server
	probation  bool
	others     detect.Baseline
	target     time.Duration // of the request's route; zero if it is not known
	slowAfter  time.Duration // how long it runs before it has outlasted nearly all of its route; zero if that is not known
	granted    time.Time
	waited     time.Duration // until it was granted
	started    time.Time     // zero until the request is sent
	overdue    *time.Timer
	watch      slowWatch
	wasOverdue atomic.Bool
	// isEvidence says that the observation says something of the backend server.
	isEvidence  bool
	observation detect.Observation
}

// begin starts the clock of the request, and of its being overdue.
func (s *slot) begin(others detect.Baseline, call hop.Call) {
	s.target = call.LatencyTarget
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

// answered observes the head of the answer.
func (s *slot) answered(response *http.Response) {
	s.observation.Outcome, s.isEvidence = detect.OutcomeFromResponse(response)
	s.stopClock()
	if response.Header.Get(s.server.declared.Load().Service.DrainingHeader) != "" {
		s.server.send(selfDrainMessage{})
	}
}

// failed observes a failure.
func (s *slot) failed(failure *result.Error) {
	s.observation.Outcome, s.isEvidence = failures.Evidence(failure.Code)
	if failure.Code.Number == result.CallerGone.Number && s.isSlow() {
		s.observation.Outcome, s.isEvidence = detect.TimedOut, true // whoever asked did not wait for longer than others have to
	}
	s.stopClock()
}

// isSlow reports whether the request has outlasted nearly all others of its route.
func (s *slot) isSlow() bool { return s.slowAfter > 0 && time.Since(s.started) >= s.slowAfter }

func (s *slot) stopClock() {
	s.observation.Latency = time.Since(s.started)
	if s.overdue != nil {
		s.overdue.Stop()
	}
	s.watch.end()
	s.observation.WasOverdue = s.wasOverdue.Load()
	s.observation.PastTarget = s.target > 0 && s.observation.Latency > s.target
	if s.isEvidence && !s.probation {
		s.server.send(observeMessage{observation: s.observation, others: s.others})
	}
}

// release gives the slot back.
func (s *slot) release() {
	var took time.Duration
	if !s.started.IsZero() {
		took = time.Since(s.started)
	}
	s.server.slotTime.add(s.use(), time.Since(s.granted))
	s.server.send(releaseMessage{took: took, probation: s.probation, isEvidence: s.isEvidence, observation: s.observation, others: s.others})
}
