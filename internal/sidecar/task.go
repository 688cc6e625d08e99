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

// judgeEvery is how often a task looks at its evidence without a request.
const judgeEvery = 100 * time.Millisecond

// task owns the state of one backend server.
type task struct {
	config         Config
	server         *server
	declared       *declared
	queue          *admission.Queue
	waiting        map[uint64]chan grant // who waits for a slot
	subject        *detect.Subject
	ledger         *floor.Ledger
	asking         asking
	draining       bool      // an operator said so
	hostDraining   bool      // the platform's list says that the host is
	selfDrainUntil time.Time // until when its own word that it is draining counts
	trying         bool      // a probation request runs
	suspicion      *suspicion.Suspicion
	turnedAway     map[string]bool // hosts whose requests were refused for suspicion
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
		asking:     newAsking(),
		suspicion:  suspicion.New(),
		turnedAway: make(map[string]bool),
	}
	return t
}

// run takes messages one at a time until the server ends.
func (t *task) run() {
	ticker := time.NewTicker(judgeEvery)
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

// show lets others see the load, and whether the backend server is draining, without a message.
func (t *task) show(now time.Time) {
	t.server.loadBits.Store(math.Float64bits(t.queue.Load()))
	t.server.draining.Store(t.isDraining(now))
}

// tick does what is due without a message.
func (t *task) tick(now time.Time) {
	t.noteSurvived(now)
	t.expire(now)
	t.judge(now)
	t.show(now)
}

// handle takes one message.
func (t *task) handle(message any) {
	now := time.Now()
	switch m := message.(type) {
	case offerMessage:
		t.offer(now, &m)
	case observeMessage:
		t.observe(now, m)
	case slowMessage:
		t.noteSlow(now, m)
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
		m.reply <- t.answer(now, m.request)
	case releasedMessage:
		t.ledger.Released(m.release)
	case leaseMessage:
		t.takeLease(now, m)
	}
	t.show(now)
}

// observe takes the outcome of a request as evidence.
func (t *task) observe(now time.Time, m observeMessage) {
	t.weigh(now, m.observation, m.others)
	if t.declared.adoption() == fleet.AdoptionOff || t.subject.State(now) != detect.Serving {
		return
	}
	t.subject.Observe(now, m.observation, m.others)
	t.judge(now)
}

// reconfigure takes what the declaration says now.
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
