package sidecar

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/backend"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/dial"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// mailboxSize is how many messages may wait for a server's task.
const mailboxSize = 256

// declared is what the declaration says of a backend server.
type declared struct {
	fleet.Placement
	// others are the service's other backend servers.
	others []fleet.Placement
	rules  detect.Rules
}

func newDeclared(placement fleet.Placement, index *fleet.Index) *declared {
	d := &declared{Placement: placement, rules: detect.RulesOf(placement.Service.Detection)}
	for _, other := range placement.Service.BackendServers {
		if other.Name == placement.BackendServer.Name {
			continue
		}
		if found, ok := index.BackendServer(other.Name); ok {
			d.others = append(d.others, found)
		}
	}
	return d
}

func (d *declared) size() admission.Config {
	return admission.Config{Slots: d.BackendServer.Slots, Depth: d.BackendServer.Queue, Salt: d.BackendServer.Name}
}

func (d *declared) adoption() fleet.Adoption { return d.Service.AdoptionIn(d.Host.DataCentre) }

// server is the handle of one backend server's task.
type server struct {
	mailbox  chan any
	ended    chan struct{}
	loadBits atomic.Uint64
	draining atomic.Bool
	endedAt  atomic.Int64 // when it was seen to end, in Unix milliseconds; zero since it last answered
	declared atomic.Pointer[declared]
	pool     *backend.Pool
	slotTime slotTime
	sendings sendings
	closeAll func()
}

func newServer(config Config, d *declared, connects tally.Counter) *server {
	s := &server{
		mailbox:  make(chan any, mailboxSize),
		ended:    make(chan struct{}),
		slotTime: newSlotTime(config.Scope, d.Service.Name),
		sendings: newSendings(config.Scope, d.Service.Name),
	}
	s.declared.Store(d)
	dialer := dial.New(dial.Config{Connect: connectTimeout, Unacknowledged: unacknowledged})
	s.pool, s.closeAll = backend.New(backend.Config{
		Address:   d.BackendServer.Address,
		Dial:      dialer.DialContext,
		OnConnect: func() { connects.Inc(1) },
	})
	go newTask(config, s, d).run()
	return s
}

func (s *server) address() string { return s.declared.Load().BackendServer.Address }

func (s *server) load() float64 { return math.Float64frombits(s.loadBits.Load()) }

// isDraining says whether the backend server takes no new work because it is draining or has been
// replaced, so that its end is no surprise.
func (s *server) isDraining() bool {
	select {
	case <-s.ended:
		return true
	default:
		return s.draining.Load()
	}
}

// send gives the task a message; it says false if the task has ended.
func (s *server) send(message any) bool {
	select {
	case s.mailbox <- message:
		return true
	case <-s.ended:
		return false
	}
}

func (s *server) end() {
	close(s.ended)
	s.closeAll()
}

func (s *server) reconfigure(d *declared) {
	s.declared.Store(d)
	s.send(reconfigureMessage{declared: d})
}

func (s *server) report() (Report, error) {
	reply := make(chan Report, 1)
	gone := result.New(result.UnknownServer)
	if !s.send(reportMessage{reply: reply}) {
		return Report{}, gone
	}
	select {
	case report := <-reply:
		return report, nil
	case <-s.ended:
		return Report{}, gone
	}
}

// acquire waits for a slot until the task refuses or ctx ends.
func (s *server) acquire(ctx context.Context, id uint64, call hop.Call, deadline time.Time) (*slot, error) {
	request := admission.Request{
		ID:       id,
		Customer: call.Customer,
		Priority: call.Priority,
		TargetAt: deadline.Add(call.TargetLeft - call.TimeLeft),
		Usual:    call.Usual,
		Deadline: deadline,
	}
	reply := make(chan grant, 1)
	if !s.send(offerMessage{request: request, call: call, reply: reply}) {
		return nil, result.New(result.Draining)
	}
	select {
	case g := <-reply:
		return s.granted(ctx, g)
	case <-ctx.Done():
		s.withdraw(request, reply)
		return nil, cancelled(ctx)
	case <-s.ended:
		return nil, result.New(result.Draining)
	}
}

// granted checks that the request is still wanted.
func (s *server) granted(ctx context.Context, g grant) (*slot, error) {
	if g.err != nil {
		return nil, g.err
	}
	granted := s.newSlot(g)
	if ctx.Err() != nil {
		granted.release()
		return nil, cancelled(ctx)
	}
	return granted, nil
}

// newSlot returns the slot that was granted a moment ago.
func (s *server) newSlot(g grant) *slot {
	return &slot{server: s, granted: time.Now(), probation: g.probation}
}

// withdraw takes a request out of the queue, or gives its slot back if it was
// granted one in the meantime.
func (s *server) withdraw(request admission.Request, reply chan grant) {
	wasWaiting := make(chan bool, 1)
	if !s.send(cancelMessage{request: request, reply: wasWaiting}) {
		return
	}
	select {
	case waiting := <-wasWaiting:
		if waiting {
			return
		}
	case <-s.ended:
		return
	}
	if g := <-reply; g.err == nil {
		s.newSlot(g).release()
	}
}

func cancelled(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineBeforeRun)
	}
	return result.New(result.CancelledBefore)
}

// slot is the right to run one request, and the observer of how it went. It is
// used by one goroutine, but for the overdue timer.
type slot struct {
	server    *server
	probation bool
	others    detect.Baseline
	target    time.Duration // of the request's route; zero if it is not known
	slowAfter time.Duration // how long it runs before it has outlasted nearly all of its route; zero if that is not known
	granted   time.Time
	started   time.Time // zero until the request is sent
	overdue   *time.Timer
	watch     slowWatch
	late      atomic.Bool
	seen      bool
	saw       detect.Observation
}

// begin starts the clock of the request, and of its being overdue.
func (s *slot) begin(others detect.Baseline, call hop.Call) {
	s.target = call.LatencyTarget
	s.slowAfter = call.SlowAfter
	s.others = others
	s.started = time.Now()
	s.watch.begin(s.server, call.SlowAfter)
	limit := s.server.declared.Load().rules.OverdueLimit(others.Typical)
	if limit > 0 {
		s.overdue = time.AfterFunc(limit, s.reportOverdue)
	}
}

func (s *slot) reportOverdue() {
	s.late.Store(true)
	s.server.send(observeMessage{observation: detect.Observation{Outcome: detect.Overdue}, others: s.others})
}

// answered takes the head of the answer as evidence.
func (s *slot) answered(response *http.Response) {
	s.saw.Outcome, s.seen = detect.FromAnswer(response)
	s.stopClock()
	if response.Header.Get(s.server.declared.Load().Service.DrainingHeader) != "" {
		s.server.send(selfDrainMessage{})
	}
}

// failed takes a failure as evidence.
func (s *slot) failed(failure *result.Error) {
	s.saw.Outcome, s.seen = failures.Evidence(failure.Code)
	if failure.Code.Number == result.CallerGone.Number && s.isSlow() {
		s.saw.Outcome, s.seen = detect.TimedOut, true // whoever asked did not wait for longer than others have to
	}
	s.stopClock()
}

// isSlow says whether the request has outlasted nearly all others of its route.
func (s *slot) isSlow() bool { return s.slowAfter > 0 && time.Since(s.started) >= s.slowAfter }

func (s *slot) stopClock() {
	s.saw.Took = time.Since(s.started)
	if s.overdue != nil {
		s.overdue.Stop()
	}
	s.watch.end()
	s.saw.WasOverdue = s.late.Load()
	s.saw.PastTarget = s.target > 0 && s.saw.Took > s.target
	if s.seen && !s.probation {
		s.server.send(observeMessage{observation: s.saw, others: s.others})
	}
}

// release gives the slot back.
func (s *slot) release() {
	var took time.Duration
	if !s.started.IsZero() {
		took = time.Since(s.started)
	}
	s.server.slotTime.add(s.use(), time.Since(s.granted))
	s.server.send(releaseMessage{took: took, probation: s.probation, seen: s.seen, saw: s.saw, others: s.others})
}
