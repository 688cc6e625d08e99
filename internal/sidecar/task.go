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
	"github.com/tideliftd/tidelift/internal/suspicion"
)

// tickEvery is how often a task does what is due without a message. Not measured: swift detection
// allows 200 ms, the least span of its evidence.
const tickEvery = 100 * time.Millisecond

// task owns the state of one backend server.
type task struct {
	config         Config
	server         *server
	declared       *declared
	queue          *admission.Queue
	waiting        map[uint64]chan grant // who waits for a slot
	subject        *detect.Subject
	ledger         *floor.Ledger
	ejecting       ejecting
	draining       bool      // by an operator
	hostDraining   bool      // by the platform's list of hosts
	selfDrainUntil time.Time // by its own answer, which counts until then
	probationRuns  bool      // a probation request runs
	suspicion      *suspicion.Suspicion
	refusedHosts   map[string]bool // hosts whose requests were refused for suspicion
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
		ejecting:     newEjecting(),
		suspicion:    suspicion.New(),
		refusedHosts: make(map[string]bool),
	}
	return t
}

// run handles messages one at a time until the server ends.
func (t *task) run() {
	ticker := time.NewTicker(tickEvery)
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

// publish lets others read the load, and whether the backend server is draining, without a message.
func (t *task) publish(now time.Time) {
	t.server.loadBits.Store(math.Float64bits(t.queue.Load()))
	t.server.failingBits.Store(math.Float64bits(t.subject.FailureRate()))
	t.server.draining.Store(t.isDraining(now))
}

// tick does what is due without a message.
func (t *task) tick(now time.Time) {
	t.countSurvivedProbe(now)
	t.expire(now)
	t.judge(now)
	t.publish(now)
}

// handle handles one message.
func (t *task) handle(message any) {
	now := time.Now()
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
	case hostListMessage:
		t.applyHostList(now, m.draining)
	case selfDrainMessage:
		t.selfDrain(now)
	case reconfigureMessage:
		t.reconfigure(m.declared)
	case reportMessage:
		m.reply <- t.report(now)
	case askedMessage:
		m.reply <- t.answerRequest(now, m.request)
	case releasedMessage:
		t.ledger.RecordRelease(m.release)
	case leaseMessage:
		t.recordLease(now, m)
	}
	t.publish(now)
}

// observe records the outcome of a request, for the suspicion and for an ejection.
func (t *task) observe(now time.Time, m observeMessage) {
	t.recordSuspicion(now, m.observation, m.others)
	if t.declared.adoption() == fleet.AdoptionOff || t.subject.State(now) != detect.Serving {
		return
	}
	t.subject.Observe(now, m.observation, m.others)
	t.judge(now)
}

// reconfigure applies the declaration.
func (t *task) reconfigure(d *declared) {
	t.declared = d
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
