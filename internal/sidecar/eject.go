package sidecar

import (
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
	// askAgain is the least pause between two tries to be ejected; a random
	// part as long again is added, so that two do not keep in step.
	askAgain = 300 * time.Millisecond
	// askAgainSuspected is the pause while the backend server is suspected. Being
	// asked last spares its callers already; each try costs a call to every other
	// backend server of the service.
	askAgainSuspected = 5 * time.Second
)

// isEjected says whether the backend server is ejected now. Leases that ran out,
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

// stayEjected keeps up the leases, unless the declaration no longer lets anyone
// be ejected here.
func (t *task) stayEjected(now time.Time, adoption fleet.Adoption) {
	if adoption == fleet.AdoptionSteer {
		t.renew(now)
		return
	}
	t.subject.Return(now)
	t.comeBack("the service is not steered here any more")
}

// tryEject asks every other backend server of the service for a lease.
func (t *task) tryEject(now time.Time, verdict detect.Verdict) {
	if t.asking.open || t.isDraining(now) || now.Before(t.asking.notBefore) {
		return
	}
	if len(t.declared.others) < t.declared.Service.Floor {
		t.noteHeld("the floor needs every backend server", verdict)
		return
	}
	if !t.ledger.Begin(now, verdict.Severity) {
		t.noteHeld("it granted others leases to keep serving, or has just started", verdict)
		return
	}
	t.asking.open = true
	clear(t.asking.summaries)
	t.askOthers(now, t.declared.others)
}

// renew asks again for the leases that are needed to stay ejected.
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

// alone says whether the suspicion is the backend server's own, by how those
// who answered do themselves.
func (t *task) alone() bool {
	return t.subject.Alone(slices.Collect(maps.Values(t.asking.summaries)))
}

// tryEnter ejects the backend server if the leases are enough, or ends the try once
// all have answered.
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
	if t.suspicion.Suspected() {
		pause = askAgainSuspected
	}
	t.asking.notBefore = now.Add(pause + rand.N(pause))
	held := fmt.Sprintf("%d leases to keep serving, floor %d", len(t.ledger.Holding(now)), t.declared.Service.Floor)
	t.stopAsking()
	if verdict.Sick {
		t.noteHeld(held, verdict)
	}
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
		return fmt.Sprintf("floor %d: ejected with %d leases of others to serve", need, len(t.ledger.Holding(now)))
	}
	if t.asking.held != "" {
		return fmt.Sprintf("floor %d: kept in service: %s", need, t.asking.held)
	}
	return fmt.Sprintf("floor %d", need)
}
