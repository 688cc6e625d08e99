package sidecar

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/floor"
	"github.com/tideliftd/tidelift/internal/serverlimit"
	"github.com/tideliftd/tidelift/internal/suspicion"
)

// tickInterval is how often a task does periodic work. It is less than 200 ms, the shortest
// evidence window of swift detection.
const tickInterval = 100 * time.Millisecond

// task owns the state of one backend server.
type task struct {
	config            Config
	server            *server
	declared          *declared
	queue             *admission.Queue
	waiting           map[uint64]chan grant // requests that wait for a slot, by ID
	subject           *detect.Subject
	ledger            *floor.Ledger
	ejection          ejection
	draining          bool      // set by an operator
	hostDraining      bool      // set by the platform's host list
	selfDrainUntil    time.Time // end of the draining that its own answer reported
	probationInFlight bool      // a probation request is running
	coldUntil         time.Time // until when the rate of requests is limited
	refusedAt         time.Time // when a request was last refused for want of slots
	limit             serverlimit.Limit
	suspicion         *suspicion.Suspicion
	refusedHosts      map[string]bool // hosts whose requests were refused because of suspicion
}

func newTask(config Config, s *server, d *declared) *task {
	t := &task{
		config:   config,
		server:   s,
		declared: d,
		queue:    admission.NewQueue(d.size()),
		waiting:  make(map[uint64]chan grant),
		subject:  detect.NewSubject(d.rules),
		ledger: floor.NewLedger(floor.Config{
			Name:        d.BackendServer.Name,
			Start:       time.Now(),
			FirstNumber: rand.Uint64(),
		}),
		ejection:     newEjection(),
		suspicion:    suspicion.New(),
		refusedHosts: make(map[string]bool),
	}
	t.assumeCold(time.Now())
	return t
}

// run handles messages one at a time until the server ends.
func (t *task) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case message := <-t.server.mailbox:
			t.handle(message)
		case <-ticker.C:
			t.tick(time.Now())
		case <-t.server.ended:
			return
		}
	}
}

// publish makes the load, the failure rate and whether the backend server is draining readable
// without a message.
func (t *task) publish(now time.Time) {
	t.server.loadBits.Store(math.Float64bits(t.queue.Load()))
	t.server.failureRateBits.Store(math.Float64bits(t.subject.FailureRate()))
	t.server.draining.Store(t.isDraining(now))
	t.server.publishLimit(t.limit.PerSecond())
}

// tick does the periodic work.
func (t *task) tick(now time.Time) {
	t.checkSurvivedProbe(now)
	t.expire(now)
	t.limitRate(now)
	t.evaluate(now)
	t.publish(now)
}

func (t *task) handle(message any) {
	now := time.Now()
	t.limitRate(now)
	switch m := message.(type) {
	case offerMessage:
		t.offer(now, &m)
	case observeMessage:
		t.observe(now, m)
	case slowMessage:
		t.recordSlow(now, m)
	case releaseMessage:
		t.release(now, m)
	case cancelMessage:
		t.cancel(m)
	case drainMessage:
		t.drain(m.draining)
	case coldMessage:
		t.coldUntil = m.until
	case limitMessage:
		t.recordLimit(now, m.statement)
	case hostListMessage:
		t.applyHostList(now, m.draining)
	case selfDrainMessage:
		t.selfDrain(now)
	case reconfigureMessage:
		t.reconfigure(now, m.declared)
	case reportMessage:
		m.reply <- t.report(now)
	case leaseRequestMessage:
		m.reply <- t.answerLeaseRequest(now, m.request)
	case leaseReleaseMessage:
		t.ledger.RecordRelease(m.release)
	case leaseAnswerMessage:
		t.recordLease(now, m)
	}
	t.publish(now)
}

// observe records the outcome of a request as evidence for suspicion and ejection.
func (t *task) observe(now time.Time, m observeMessage) {
	if m.observation.Outcome == detect.ConnectionRefused {
		t.assumeCold(now)
	}
	t.recordSuspicion(now, m.observation, m.others)
	if t.declared.adoption() == fleet.AdoptionOff || t.subject.State(now) != detect.Serving {
		return
	}
	t.subject.Observe(now, m.observation, m.others)
	t.evaluate(now)
}

// reconfigure applies a new declaration.
func (t *task) reconfigure(now time.Time, d *declared) {
	if t.declared.evacuated && !d.evacuated {
		t.assumeCold(now)
	}
	t.declared = d
	if d.evacuated {
		t.evacuate()
	}
	t.subject.SetRules(d.rules)
	t.queue.Resize(d.size())
	names := make([]string, 0, len(d.others))
	for _, other := range d.others {
		names = append(names, other.BackendServer.Name)
	}
	t.ledger.Restrict(names)
}

func (t *task) log(e event.Event, args ...any) {
	all := append([]any{"backend_server", t.declared.BackendServer.Name, "service", t.declared.Service.Name}, args...)
	event.Log(t.config.Logger, e, all...)
}
