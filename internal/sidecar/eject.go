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
	// ejectRetryPause is the minimum pause between two attempts to be ejected. A random pause of
	// up to the same length is added, so that two backend servers do not collide repeatedly.
	ejectRetryPause = 300 * time.Millisecond
	// suspectedEjectRetryPause is the pause while the backend server is suspected. Ingresses
	// already select a suspected backend server last, and each attempt costs a call to every other
	// backend server of the floor group.
	suspectedEjectRetryPause = 5 * time.Second
)

// isEjected reports whether the backend server is ejected now. It reinstates the backend server
// immediately if the leases have expired, even if that was while this process was suspended.
func (t *task) isEjected(now time.Time) bool {
	if t.subject.State(now) == detect.Serving {
		return false
	}
	if t.ledger.MayStayEjected(now, t.declared.floor) {
		return true
	}
	t.subject.Reinstate(now)
	why := "the floor requires it"
	if t.ejection.othersBusy {
		why = "the others refuse requests for want of slots"
	}
	t.returnToService(why)
	return false
}

// evaluate ejects, reinstates or keeps the backend server according to the current evidence.
func (t *task) evaluate(now time.Time) {
	adoption := t.declared.adoption()
	if t.isEjected(now) {
		t.maintainEjection(now, adoption)
		return
	}
	if adoption == fleet.AdoptionOff {
		return
	}
	verdict := t.subject.Verdict(now)
	if !verdict.Unhealthy {
		t.abandonEjection()
		t.ejection.floorHeldReason = ""
		return
	}
	if adoption == fleet.AdoptionObserve {
		t.recordFloorHeld("observe only: it would be ejected if the floor allowed it", verdict)
		return
	}
	t.beginEjection(now, verdict)
}

// maintainEjection renews the leases, or reinstates the backend server if the declaration no longer
// permits ejections here.
func (t *task) maintainEjection(now time.Time, adoption fleet.Adoption) {
	switch {
	case t.declared.evacuated:
		t.subject.Reinstate(now)
		t.returnToService("the data centre is evacuated")
	case adoption != fleet.AdoptionSteer:
		t.subject.Reinstate(now)
		t.returnToService("the service is no longer steered here")
	default:
		t.renewLeases(now)
	}
}

// beginEjection requests a lease from every other backend server of the floor group.
func (t *task) beginEjection(now time.Time, verdict detect.Verdict) {
	if t.ejection.inProgress || t.isDraining(now) || t.declared.evacuated || now.Before(t.ejection.notBefore) {
		return
	}
	if len(t.declared.others) < t.declared.floor {
		t.recordFloorHeld("the floor requires every backend server", verdict)
		return
	}
	if !t.ledger.BeginRequesting(now, verdict.Severity) {
		t.recordFloorHeld("it has granted others leases, or has just started", verdict)
		return
	}
	t.ejection.inProgress = true
	clear(t.ejection.summaries)
	t.requestLeases(now, t.declared.others)
}

// renewLeases renews the leases that are needed to stay ejected.
func (t *task) renewLeases(now time.Time) {
	if now.Sub(t.ejection.requestedAt) < floor.RenewInterval {
		return
	}
	grantors := make(map[string]bool)
	for _, name := range t.ledger.Grantors(now) {
		grantors[name] = true
	}
	var needed []*fleet.Placement
	for _, other := range t.declared.others {
		if t.ejection.requestAll || grantors[other.BackendServer.Name] {
			needed = append(needed, other)
		}
	}
	t.ejection.requestAll = false
	t.requestLeases(now, needed)
}

// isOutlier reports whether the backend server performs worse than the others, according to the
// summaries in their lease answers.
func (t *task) isOutlier() bool {
	return t.subject.IsOutlier(slices.Collect(maps.Values(t.ejection.summaries)))
}

// ejectIfAllowed ejects the backend server if it is an outlier and holds enough leases. Otherwise
// it ends the attempt once all others have answered.
func (t *task) ejectIfAllowed(now time.Time) {
	verdict := t.subject.Verdict(now)
	verdict.Unhealthy = verdict.Unhealthy && t.isOutlier()
	if verdict.Unhealthy && t.ledger.Eject(now, t.declared.floor) {
		t.ejection.inProgress = false
		t.ejection.floorHeldReason = ""
		t.subject.Eject(now)
		t.log(event.ServerEjected, "cause", verdict.Cause, "severity", verdict.Severity)
		t.trimLeases(now)
		return
	}
	if len(t.ejection.pending) > 0 {
		return
	}
	pause := ejectRetryPause
	switch {
	case t.suspicion.Suspected():
		pause = suspectedEjectRetryPause
	case t.ejection.othersBusy:
		pause = busyFor
	}
	t.ejection.notBefore = now.Add(pause + rand.N(pause))
	reason := fmt.Sprintf("%d leases to keep serving, floor %d", len(t.ledger.Grantors(now)), t.declared.floor)
	t.abandonEjection()
	if verdict.Unhealthy {
		t.recordFloorHeld(reason, verdict)
	}
}

// abandonEjection ends an attempt to be ejected that is in progress, and releases its leases.
func (t *task) abandonEjection() {
	if !t.ejection.inProgress {
		return
	}
	t.ejection.inProgress = false
	t.releaseLeases(t.ledger.ReleaseAll())
}

// returnToService releases the leases and logs why the backend server is in service again.
func (t *task) returnToService(why string) {
	t.releaseLeases(t.ledger.ReleaseAll())
	t.log(event.ServerReturned, "why", why)
}

// recordFloorHeld records, and logs once, that the floor keeps an unhealthy backend server in
// service.
func (t *task) recordFloorHeld(why string, verdict detect.Verdict) {
	if t.ejection.floorHeldReason == "" {
		t.log(event.FloorHeld, "why", why, "cause", verdict.Cause)
	}
	t.ejection.floorHeldReason = why
}

// describeFloor describes to operators what the floor permits.
func (t *task) describeFloor(now time.Time) string {
	need := t.declared.floor
	if t.subject.State(now) != detect.Serving {
		return fmt.Sprintf("floor %d: ejected with %d leases of others to serve", need, len(t.ledger.Grantors(now)))
	}
	if t.ejection.floorHeldReason != "" {
		return fmt.Sprintf("floor %d: kept in service: %s", need, t.ejection.floorHeldReason)
	}
	return fmt.Sprintf("floor %d", need)
}
