package sidecar

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/floor"
)

const (
	// askTimeout bounds one call for a promise.
	askTimeout = 400 * time.Millisecond
	// askAgain is the least pause between two tries to be ejected; a random
	// part as long again is added, so that two do not keep in step.
	askAgain = 300 * time.Millisecond
	// askAgainDoubted is the pause while the backend server is doubted. Being
	// asked last spares its callers already; each try costs a call to every other
	// backend server of the service.
	askAgainDoubted = 5 * time.Second
)

// asking is how far a try to be ejected has come.
type asking struct {
	// open says that a try is under way.
	open bool
	// pending are the requests that have not been answered.
	pending map[uint64]bool
	// standings are how those who answered do themselves.
	standings map[string]detect.Standing
	// notBefore is when the next try may begin.
	notBefore time.Time
	// renewed is when promises were last asked for.
	renewed time.Time
	// widen says that one who promised no longer does, so that all are asked.
	widen bool
	// held says that the floor refused the last try, and why.
	held string
}

func newAsking() asking {
	return asking{pending: make(map[uint64]bool), standings: make(map[string]detect.Standing)}
}

// isEjected says whether the backend server is ejected now. Promises that ran out,
// be it while this process stood still, end that at once.
func (t *task) isEjected(now time.Time) bool {
	if t.subject.State(now) == detect.Serving {
		return false
	}
	if t.ledger.Keep(now, t.declared.Service.Floor) {
		return true
	}
	t.subject.Return(now)
	t.comeBack("the floor needs it")
	return false
}

// judge looks at the evidence and acts on it.
func (t *task) judge(now time.Time) {
	adoption := t.declared.adoption()
	if t.isEjected(now) {
		t.stayEjected(now, adoption)
		return
	}
	if adoption == fleet.AdoptionOff {
		return
	}
	verdict := t.subject.Verdict(now)
	if !verdict.Sick {
		t.stopAsking()
		t.asking.held = ""
		return
	}
	if adoption == fleet.AdoptionObserve {
		t.noteHeld("observe only: it would be ejected if the floor allowed it", verdict)
		return
	}
	t.tryEject(now, verdict)
}

// stayEjected keeps up the promises, unless the declaration no longer lets anyone
// be ejected here.
func (t *task) stayEjected(now time.Time, adoption fleet.Adoption) {
	if adoption == fleet.AdoptionSteer {
		t.renew(now)
		return
	}
	t.subject.Return(now)
	t.comeBack("the service is not steered here any more")
}

// tryEject asks every other backend server of the service for a promise.
func (t *task) tryEject(now time.Time, verdict detect.Verdict) {
	if t.asking.open || t.isLeaving(now) || now.Before(t.asking.notBefore) {
		return
	}
	if len(t.declared.others) < t.declared.Service.Floor {
		t.noteHeld("the floor needs every backend server", verdict)
		return
	}
	if !t.ledger.Begin(now, verdict.Severity) {
		t.noteHeld("it promised others to keep serving, or has just started", verdict)
		return
	}
	t.asking.open = true
	clear(t.asking.standings)
	t.askOthers(now, t.declared.others)
}

// renew asks again for the promises that are needed to stay ejected.
func (t *task) renew(now time.Time) {
	if now.Sub(t.asking.renewed) < floor.RenewEvery {
		return
	}
	holding := make(map[string]bool)
	for _, name := range t.ledger.Holding(now) {
		holding[name] = true
	}
	var needed []fleet.Placement
	for _, other := range t.declared.others {
		if t.asking.widen || holding[other.BackendServer.Name] {
			needed = append(needed, other)
		}
	}
	t.asking.widen = false
	t.askOthers(now, needed)
}

func (t *task) askOthers(now time.Time, others []fleet.Placement) {
	t.asking.renewed = now
	clear(t.asking.pending)
	for _, other := range others {
		request := t.ledger.Ask(other.BackendServer.Name)
		request.SuspectedFor = now.Sub(t.subject.Suspected()).Milliseconds()
		t.asking.pending[request.Number] = true
		go t.askOne(other, request, now)
	}
}

// askOne runs beside the task and gives it the answer as a message.
func (t *task) askOne(other fleet.Placement, request floor.Request, asked time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	promise, err := t.config.Peer.Ask(ctx, other, request)
	if err != nil {
		promise = Promise{Refusal: floor.RefusedUnable}
	}
	t.server.send(promiseMessage{
		number:  request.Number,
		from:    other.BackendServer.Name,
		asked:   asked,
		promise: promise,
	})
}

// takePromise takes the answer to a request and ejects the backend server once the
// promises are enough.
func (t *task) takePromise(now time.Time, m promiseMessage) {
	delete(t.asking.pending, m.number)
	t.asking.standings[m.from] = m.promise.Standing
	if m.promise.Refusal == floor.Granted {
		t.ledger.Hold(m.number, m.from, m.asked)
	} else {
		t.ledger.Lose(m.number, m.from)
		t.asking.widen = true
	}
	if t.asking.open {
		t.tryEnter(now)
		return
	}
	t.trim(now)
}

// alone says whether the suspicion is the backend server's own, by how those
// who answered do themselves.
func (t *task) alone() bool {
	return t.subject.Alone(slices.Collect(maps.Values(t.asking.standings)))
}

func (t *task) tryEnter(now time.Time) {
	verdict := t.subject.Verdict(now)
	verdict.Sick = verdict.Sick && t.alone()
	if verdict.Sick && t.ledger.Enter(now, t.declared.Service.Floor) {
		t.asking.open = false
		t.asking.held = ""
		t.subject.Eject(now)
		t.log(event.ServerEjected, "cause", verdict.Cause, "severity", verdict.Severity)
		t.trim(now)
		return
	}
	if len(t.asking.pending) > 0 {
		return
	}
	pause := askAgain
	if t.doubt.Doubted() {
		pause = askAgainDoubted
	}
	t.asking.notBefore = now.Add(pause + rand.N(pause))
	held := fmt.Sprintf("%d promises to keep serving, floor %d", len(t.ledger.Holding(now)), t.declared.Service.Floor)
	t.stopAsking()
	if verdict.Sick {
		t.noteHeld(held, verdict)
	}
}

// trim gives back the promises beyond what the floor needs, those of suspects
// first.
func (t *task) trim(now time.Time) {
	healthy := func(name string) bool { return !t.asking.standings[name].Suspect }
	t.giveBack(t.ledger.Trim(now, t.declared.Service.Floor, healthy))
}

// stopAsking ends a try that has not come to its end.
func (t *task) stopAsking() {
	if !t.asking.open {
		return
	}
	t.asking.open = false
	t.giveBack(t.ledger.Leave())
}

// comeBack puts the backend server back in service.
func (t *task) comeBack(why string) {
	t.giveBack(t.ledger.Leave())
	t.log(event.ServerReturned, "why", why)
}

func (t *task) giveBack(releases map[string]floor.Release) {
	for _, other := range t.declared.others {
		if release, ok := releases[other.BackendServer.Name]; ok {
			go t.releaseOne(other, release)
		}
	}
}

func (t *task) releaseOne(other fleet.Placement, release floor.Release) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	_ = t.config.Peer.Release(ctx, other, release) // one that is lost runs out by itself
}

// answer answers another backend server that asks for a promise.
func (t *task) answer(now time.Time, r floor.Request) Promise {
	t.isEjected(now)
	dead := t.subject.Verdict(now).Cause == detect.CauseRefuses
	cold := t.subject.Share(now) < 1
	t.ledger.SetUnable(t.isLeaving(now) || dead || cold)
	since := now.Add(-time.Duration(r.SuspectedFor) * time.Millisecond)
	return Promise{Refusal: t.ledger.Answer(now, r), Standing: t.subject.Standing(since)}
}

// noteHeld records, and logs once, that the floor keeps a sick backend server
// in service.
func (t *task) noteHeld(why string, verdict detect.Verdict) {
	if t.asking.held == "" {
		t.log(event.FloorHeld, "why", why, "cause", verdict.Cause)
	}
	t.asking.held = why
}

// floorSays returns what the floor allowed, for operators.
func (t *task) floorSays(now time.Time) string {
	need := t.declared.Service.Floor
	if t.subject.State(now) != detect.Serving {
		return fmt.Sprintf("floor %d: ejected with %d promises of others to serve", need, len(t.ledger.Holding(now)))
	}
	if t.asking.held != "" {
		return fmt.Sprintf("floor %d: kept in service: %s", need, t.asking.held)
	}
	return fmt.Sprintf("floor %d", need)
}

// Ask answers a request for a promise to a backend server of this host.
func (s *Sidecar) Ask(name string, r floor.Request) (Promise, error) {
	server, err := s.server(name)
	if err != nil {
		return Promise{}, err
	}
	reply := make(chan Promise, 1)
	if !server.send(askedMessage{request: r, reply: reply}) {
		return Promise{Refusal: floor.RefusedUnable}, nil
	}
	select {
	case promise := <-reply:
		return promise, nil
	case <-server.ended:
		return Promise{Refusal: floor.RefusedUnable}, nil
	}
}

// Release takes a promise back that a backend server of this host gave.
func (s *Sidecar) Release(name string, r floor.Release) error {
	server, err := s.server(name)
	if err != nil {
		return err
	}
	server.send(releasedMessage{release: r})
	return nil
}
