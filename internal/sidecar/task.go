package sidecar

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/doubt"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/floor"
	"github.com/tideliftd/tidelift/internal/result"
)

const (
	// judgeEvery is how often a task looks at its evidence without a request.
	judgeEvery = 100 * time.Millisecond
	// longestRefusal is the longest that a refusal for being ejected tells an
	// ingress to stay away. The floor may call the backend server back at any
	// time, and it should then get work soon.
	longestRefusal = time.Second
	// selfDrainFor is how long a backend server's own word that it is leaving
	// counts.
	selfDrainFor = 10 * time.Second
	// provenWithin is how old the last proof may be for requests that ask for one.
	// Source: a backend server gets some six requests a second, so that about half
	// have a proof that young.
	provenWithin = 150 * time.Millisecond
	// unprovenFor is how long a backend server without a new proof refuses requests
	// that ask for one, from the first that does. Source: where there are repeatable
	// requests one comes within it.
	unprovenFor = 500 * time.Millisecond
	// trialRefusal is how long one stays away while a trial request runs.
	trialRefusal = 200 * time.Millisecond
)

// task owns the state of one backend server.
type task struct {
	config         Config
	server         *server
	declared       *declared
	queue          *admission.Queue
	waiting        map[uint64]chan grant
	subject        *detect.Subject
	ledger         *floor.Ledger
	asking         asking
	leaving        bool      // an operator said so
	hostLeaving    bool      // the platform's list says that the host is
	selfDrainUntil time.Time // until when its own word that it is leaving counts
	trying         bool      // a trial request runs
	doubt          *doubt.Doubt
	unproven       time.Time       // since when requests that ask for a proof are refused; zero if they are not
	turnedAway     map[string]bool // hosts whose requests were refused for doubt
}

func newTask(config Config, s *server, d *declared) *task {
	return &task{
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
		asking: newAsking(),
		doubt:  doubt.New(),

		turnedAway: make(map[string]bool),
	}
}

func (t *task) run() {
	ticker := time.NewTicker(judgeEvery)
	defer ticker.Stop()
	for {
		select {
		case message := <-t.server.mailbox:
			t.handle(message)
		case <-ticker.C:
			t.noteSurvived(time.Now())
			t.expire(time.Now())
			t.judge(time.Now())
		case <-t.server.ended:
			return
		}
		t.server.loadBits.Store(math.Float64bits(t.queue.Load()))
	}
}

func (t *task) handle(message any) {
	now := time.Now()
	switch m := message.(type) {
	case offerMessage:
		t.offer(now, m)
	case observeMessage:
		t.observe(now, m)
	case releaseMessage:
		t.release(now, m)
	case cancelMessage:
		t.cancel(m)
	case drainMessage:
		t.drain(m.leaving)
	case hostListMessage:
		t.applyHostList(now, m.leaving)
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
	case promiseMessage:
		t.takePromise(now, m)
	}
}

// offer decides on one request: first whether the backend server takes work at
// all, then whether there is a slot.
func (t *task) offer(now time.Time, m offerMessage) {
	trial, refused := t.admit(now, m)
	if refused != nil {
		m.reply <- grant{err: refused}
		return
	}
	if m.call.Proven && t.isUnproven(now) {
		m.reply <- grant{err: result.New(result.Unproven)}
		return
	}
	t.queue.Resize(t.size(now))
	if m.call.NoWait && !t.queue.HasSlot() {
		m.reply <- grant{err: refusal(result.Busy, t.queue.RetryAfter())}
		return
	}
	decision := t.queue.Offer(now, m.request)
	if decision.Evicted != 0 {
		t.reply(decision.Evicted, grant{err: refusal(result.PlaceLost, t.queue.RetryAfter())})
	}
	switch decision.Verdict {
	case admission.Granted:
		t.trying = t.trying || trial
		t.began(now)
		m.reply <- grant{trial: trial}
	case admission.Queued:
		t.waiting[m.request.ID] = m.reply
	case admission.RefusedFull:
		m.reply <- grant{err: refusal(result.QueueFull, decision.RetryAfter)}
	case admission.RefusedLate:
		m.reply <- grant{err: refusal(result.QueueTooSlow, decision.RetryAfter)}
	case admission.RefusedShare:
		m.reply <- grant{err: refusal(result.CustomerShare, decision.RetryAfter)}
	}
}

// admit says whether the backend server takes the request, and whether as a
// trial.
func (t *task) admit(now time.Time, m offerMessage) (trial bool, refused *result.Error) {
	if t.isLeaving(now) {
		return false, result.New(result.Leaving)
	}
	t.noteSurvived(now)
	if t.doubt.Doubted() {
		return false, t.admitDoubted(now, m)
	}
	if !t.isEjected(now) {
		return false, nil
	}
	if t.subject.State(now) == detect.Ejected {
		return false, refusal(result.Ejected, min(t.subject.HeldFor(now), longestRefusal))
	}
	if m.call.Once || t.trying {
		return false, refusal(result.Ejected, trialRefusal)
	}
	return true, nil
}

// admitDoubted says whether a doubted backend server takes the request: one that
// nobody else takes, or a repeatable one that finds out how it does.
func (t *task) admitDoubted(now time.Time, m offerMessage) *result.Error {
	if m.call.Insist {
		return nil
	}
	if !m.call.Once && t.doubt.MayProbe(now) || t.doubt.MayRisk(now) {
		return nil
	}
	t.turnedAway[m.call.Host] = true
	return refusal(result.Doubted, t.doubt.HeldFor(now))
}

// weigh takes an outcome for the doubt.
func (t *task) weigh(now time.Time, saw detect.Observation) {
	weight := 0.0
	switch saw.Outcome {
	case detect.OK:
		if !saw.WasOverdue && !saw.PastTarget {
			t.noteGood(now)
			return
		}
		weight = doubt.Slow
	case detect.Refused, detect.Lost:
		weight = doubt.Broken
	case detect.Error:
		weight = doubt.Failed
	case detect.TimedOut, detect.Overdue:
		weight = doubt.Overdue
	}
	if t.doubt.Bad(now, weight) {
		t.log(event.ServerDoubted, "outcome", saw.Outcome)
		for _, id := range t.queue.Clear() { // they are better served elsewhere
			t.reply(id, grant{err: refusal(result.Doubted, t.doubt.HeldFor(now))})
		}
	}
}

// expire refuses the waiting requests that waited long enough.
func (t *task) expire(now time.Time) {
	for _, id := range t.queue.Expire(now) {
		t.reply(id, grant{err: refusal(result.QueueTooSlow, t.queue.RetryAfter())})
	}
}

// isUnproven says whether the last proof that the backend server is well is old. It
// is no reason to refuse for long: then nobody else would make a new one.
func (t *task) isUnproven(now time.Time) bool {
	if t.doubt.Doubted() || t.doubt.ProofAge(now) <= provenWithin {
		t.unproven = time.Time{}
		return false
	}
	if t.unproven.IsZero() {
		t.unproven = now
	}
	return now.Sub(t.unproven) < unprovenFor
}

// began takes it that a request was given a slot.
func (t *task) began(now time.Time) {
	t.doubt.Began(now)
	if t.doubt.Doubted() {
		t.doubt.Probe(now)
		t.log(event.ServerProbed, "good", t.doubt.GoodInARow())
	}
}

// noteSurvived ends the doubt if a probe that still runs shows enough.
func (t *task) noteSurvived(now time.Time) {
	if t.doubt.Survived(now) {
		t.trust(now)
	}
}

func (t *task) noteGood(now time.Time) {
	if t.doubt.Good(now) {
		t.trust(now)
	}
}

// trust ends the doubt, and an ejection that began meanwhile: the answers that
// end the one are proof enough for the other.
func (t *task) trust(now time.Time) {
	t.log(event.ServerTrusted)
	t.config.Peer.Trusted(slices.Collect(maps.Keys(t.turnedAway)), t.declared.BackendServer.Name)
	clear(t.turnedAway)
	if t.subject.State(now) != detect.Serving {
		t.subject.Restore()
		t.comeBack("answered well while it was doubted")
	}
}

// size is the backend server's slots, fewer for a while after a return.
func (t *task) size(now time.Time) admission.Config {
	size := t.declared.size()
	if share := t.subject.Share(now); share > 0 {
		size.Slots = max(1, int(math.Ceil(float64(size.Slots)*share)))
	}
	return size
}

func refusal(code result.Code, after time.Duration) *result.Error {
	return result.New(code).WithRetryAfter(after)
}

func (t *task) observe(now time.Time, m observeMessage) {
	t.weigh(now, m.observation)
	if t.declared.adoption() == fleet.AdoptionOff || t.subject.State(now) != detect.Serving {
		return
	}
	t.subject.Observe(now, m.observation, m.others)
	t.judge(now)
}

func (t *task) release(now time.Time, m releaseMessage) {
	granted, late := t.queue.Done(now, m.took)
	t.settle(now, granted, late)
	if !m.trial {
		return
	}
	t.trying = false
	if !m.seen || !t.isEjected(now) {
		return
	}
	if t.subject.Try(now, m.saw, m.others) {
		t.comeBack("passed its trial")
	}
}

func (t *task) cancel(m cancelMessage) {
	wasWaiting := t.queue.Cancel(m.request.Customer, m.request.ID)
	delete(t.waiting, m.request.ID)
	m.reply <- wasWaiting
}

func (t *task) settle(now time.Time, granted, late []uint64) {
	for _, id := range granted {
		t.began(now)
		t.reply(id, grant{})
	}
	for _, id := range late {
		t.reply(id, grant{err: result.New(result.DeadlineBeforeRun)})
	}
}

func (t *task) reply(id uint64, g grant) {
	reply, ok := t.waiting[id]
	if !ok {
		return
	}
	delete(t.waiting, id)
	reply <- g
}

// isLeaving says whether the backend server takes no new work because it is
// leaving, by an operator's word, its own or the platform's list.
func (t *task) isLeaving(now time.Time) bool {
	return t.leaving || t.hostLeaving || now.Before(t.selfDrainUntil)
}

// applyHostList takes what the platform's list says of the host.
func (t *task) applyHostList(now time.Time, leaving bool) {
	before := t.isLeaving(now)
	t.hostLeaving = leaving
	switch after := t.isLeaving(now); {
	case after && !before:
		t.log(event.ServerLeaving, "why", "the platform's list")
	case before && !after:
		t.log(event.ServerBack, "why", "the platform's list")
	}
}

// selfDrain takes the backend server's own word. It counts for a while, since
// one that gets no work cannot take it back; then the next answer tells.
func (t *task) selfDrain(now time.Time) {
	if !t.isLeaving(now) {
		t.log(event.ServerLeaving, "why", "its own word")
	}
	t.selfDrainUntil = now.Add(selfDrainFor)
}

func (t *task) drain(leaving bool) {
	t.leaving = leaving
	t.selfDrainUntil = time.Time{}
	e := event.ServerBack
	if leaving {
		e = event.ServerLeaving
	}
	t.log(e)
}

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

func (t *task) report(now time.Time) Report {
	return Report{
		BackendServer: t.declared.BackendServer.Name,
		Service:       t.declared.Service.Name,
		Daemon:        t.declared.Host.Name,
		State:         t.state(now),
		Adoption:      t.declared.adoption(),
		Running:       t.queue.Running(),
		Waiting:       t.queue.Waiting(),
		Load:          t.queue.Load(),
		Floor:         t.floorSays(now),
		Detection:     t.subject.Explain(now),
	}
}

func (t *task) state(now time.Time) State {
	switch {
	case t.isLeaving(now):
		return StateLeaving
	case !t.isEjected(now):
		return StateServing
	case t.subject.State(now) == detect.Trial:
		return StateTrial
	default:
		return StateEjected
	}
}
