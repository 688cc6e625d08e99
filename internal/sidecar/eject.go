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
	// tryPause is the least pause between two tries to be ejected; a random part as long
	// again is added, so that two do not keep in step. Not measured: a lease that another holds
	// runs out within two seconds.
	tryPause = 300 * time.Millisecond
	// suspectedTryPause is the pause while the backend server is suspected. Being asked last
	// spares its callers already; each try costs a call to every other backend server of the
	// service. Source: a pause that doubles in place of it made no difference beyond the error
	// (docs/design/0010-hanging.md).
	suspectedTryPause = 5 * time.Second
)

// isEjected reports whether the backend server is ejected now. Leases that ran out,
// be it while this process stood still, end that at once.
func (t *task) isEjected(now time.Time) bool {
	if t.subject.State(now) == detect.Serving {
		return false
	}
	if t.ledger.MayStayEjected(now, t.declared.Service.Floor) {
		return true
	}
	t.subject.Reinstate(now)
	t.backInService("the floor needs it")
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
	if !verdict.Unhealthy {
		t.stopAsking()
		t.ejecting.keptBy = ""
		return
	}
	if adoption == fleet.AdoptionObserve {
		t.recordFloorHeld("observe only: it would be ejected if the floor allowed it", verdict)
		return
	}
	t.tryEject(now, verdict)
}

// stayEjected keeps up the leases, unless the declaration no longer lets anyone
// be ejected here.
func (t *task) stayEjected(now time.Time, adoption fleet.Adoption) {
	if adoption == fleet.AdoptionSteer {
		t.renewLeases(now)
		return
	}
	t.subject.Reinstate(now)
	t.backInService("the service is not steered here any more")
}

// tryEject asks every other backend server of the service for a lease.
func (t *task) tryEject(now time.Time, verdict detect.Verdict) {
	if t.ejecting.open || t.isDraining(now) || now.Before(t.ejecting.notBefore) {
		return
	}
	if len(t.declared.others) < t.declared.Service.Floor {
		t.recordFloorHeld("the floor needs every backend server", verdict)
		return
	}
	if !t.ledger.BeginRequesting(now, verdict.Severity) {
		t.recordFloorHeld("it granted others leases to keep serving, or has just started", verdict)
		return
	}
	t.ejecting.open = true
	clear(t.ejecting.summaries)
	t.askOthers(now, t.declared.others)
}

// renewLeases asks again for the leases that are needed to stay ejected.
func (t *task) renewLeases(now time.Time) {
	if now.Sub(t.ejecting.askedAt) < floor.RenewInterval {
		return
	}
	holding := make(map[string]bool)
	for _, name := range t.ledger.Grantors(now) {
		holding[name] = true
	}
	var needed []fleet.Placement
	for _, other := range t.declared.others {
		if t.ejecting.askAll || holding[other.BackendServer.Name] {
			needed = append(needed, other)
		}
	}
	t.ejecting.askAll = false
	t.askOthers(now, needed)
}

// isOutlier reports whether the backend server does worse than the others, by how those who
// answered do themselves.
func (t *task) isOutlier() bool {
	return t.subject.IsOutlier(slices.Collect(maps.Values(t.ejecting.summaries)))
}

// ejectIfAllowed ejects the backend server if it is an outlier and the leases are enough, or ends
// the try once all have answered.
func (t *task) ejectIfAllowed(now time.Time) {
	verdict := t.subject.Verdict(now)
	verdict.Unhealthy = verdict.Unhealthy && t.isOutlier()
	if verdict.Unhealthy && t.ledger.Eject(now, t.declared.Service.Floor) {
		t.ejecting.open = false
		t.ejecting.keptBy = ""
		t.subject.Eject(now)
		t.log(event.ServerEjected, "cause", verdict.Cause, "severity", verdict.Severity)
		t.trimLeases(now)
		return
	}
	if len(t.ejecting.pending) > 0 {
		return
	}
	pause := tryPause
	if t.suspicion.Suspected() {
		pause = suspectedTryPause
	}
	t.ejecting.notBefore = now.Add(pause + rand.N(pause))
	kept := fmt.Sprintf("%d leases to keep serving, floor %d", len(t.ledger.Grantors(now)), t.declared.Service.Floor)
	t.stopAsking()
	if verdict.Unhealthy {
		t.recordFloorHeld(kept, verdict)
	}
}

// stopAsking ends a try that has not come to its end.
func (t *task) stopAsking() {
	if !t.ejecting.open {
		return
	}
	t.ejecting.open = false
	t.giveBack(t.ledger.ReleaseAll())
}

// backInService gives the leases back and logs why the backend server is in service again.
func (t *task) backInService(why string) {
	t.giveBack(t.ledger.ReleaseAll())
	t.log(event.ServerReturned, "why", why)
}

// recordFloorHeld records, and logs once, that the floor keeps a sick backend server
// in service.
func (t *task) recordFloorHeld(why string, verdict detect.Verdict) {
	if t.ejecting.keptBy == "" {
		t.log(event.FloorHeld, "why", why, "cause", verdict.Cause)
	}
	t.ejecting.keptBy = why
}

// describeFloor returns what the floor allowed, for operators.
func (t *task) describeFloor(now time.Time) string {
	need := t.declared.Service.Floor
	if t.subject.State(now) != detect.Serving {
		return fmt.Sprintf("floor %d: ejected with %d leases of others to serve", need, len(t.ledger.Grantors(now)))
	}
	if t.ejecting.keptBy != "" {
		return fmt.Sprintf("floor %d: kept in service: %s", need, t.ejecting.keptBy)
	}
	return fmt.Sprintf("floor %d", need)
}
