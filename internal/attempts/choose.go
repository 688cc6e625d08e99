package attempts

import (
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
)

const (
	// maxSlotQueries is the number of backend servers queried for a free slot before the request
	// waits at one. At 80% load half of them have a free slot, so that one request in sixteen waits.
	maxSlotQueries = 4
	// highBusyShare is the share of busy answers above which fewer backend servers are queried,
	// since another round trip is unlikely to find a free slot.
	highBusyShare = 0.75
	// maxSlotQueriesBusy replaces maxSlotQueries above highBusyShare.
	maxSlotQueriesBusy = 2
	// maxSlotQueriesRemote is the number of queries that may go to other data centres, where
	// traffic is expensive and round trips are long.
	maxSlotQueriesRemote = 1
	// maxHangingRefusals is the number of refusals by backend servers that appear to hang after
	// which the request is sent to any.
	maxHangingRefusals = 2
	// maxHangingRefusalsLong replaces maxHangingRefusals for long requests that must not run twice. Another query costs a
	// round trip; a request sent to a failing backend server is lost.
	maxHangingRefusalsLong = 4
	// SelectionRetryDelay is the pause before a request that found only suspected backend servers,
	// or none, selects again.
	SelectionRetryDelay = 50 * time.Millisecond
	// selectionTimeDivisor bounds the search for a backend server that is not suspected to a
	// fraction of the time until the latency target, so that a refusal comes early.
	selectionTimeDivisor = 4
)

// Choice is the backend server to send the next attempt to, and how to send it.
type Choice struct {
	// Target is the backend server; nil if none is left.
	Target *balance.Target
	// Probation is set if the request tests whether the target has recovered.
	Probation bool
	// RefuseIfBusy requests a refusal instead of a wait for a slot.
	RefuseIfBusy bool
	// RefuseIfHanging requests a refusal if the target appears to hang.
	RefuseIfHanging bool
	// DespiteSuspicion is set if no other target is left, so that suspicion is no reason to refuse.
	DespiteSuspicion bool
	// RetrySelection is set if the request has time to select again after SelectionRetryDelay, when
	// a better target may be available.
	RetrySelection bool
}

// Choose returns the backend server to send the next attempt to. A target that is on probation, due
// for a recovery check, or at which the request waits is claimed by the call: no other call returns
// it.
func Choose(now time.Time, r Request, h *History) Choice {
	c := choose(now, r, h)
	found := c.Target != nil && !c.DespiteSuspicion
	c.RetrySelection = !found && h.mayFindBetter(r.Service.Pool) && r.hasTimeToReselect(now)
	if c.DespiteSuspicion && c.Target != nil && !c.RetrySelection {
		h.insisted = append(h.insisted, c.Target)
	}
	return c
}

func choose(now time.Time, r Request, h *History) Choice {
	if !r.NonIdempotent && len(h.Tried) == 0 {
		if c := chooseForRecovery(now, r.Service); c.Target != nil {
			return c
		}
	}
	if mayQuerySlot(r, h) {
		if c := chooseForSlot(now, r, h); c.Target != nil {
			return c
		}
	}
	if len(h.Busy) > 0 {
		return Choice{Target: h.removeLeastBusy()}
	}
	if h.FullQueues > 0 {
		if target := h.removeHanging(); target != nil {
			return Choice{Target: target, RefuseIfBusy: true} // more likely to serve it than a full queue
		}
	}
	if h.FullQueues > 0 && !r.Subrequest {
		return Choice{} // a suspected target would most likely fail, and a refusal is accurate
	}
	if !r.mayInsist(h) {
		return Choice{}
	}
	target, _ := r.Service.Pool.PickSuspected(now, h.Tried)
	return Choice{Target: target, DespiteSuspicion: true}
}

// chooseForRecovery returns a target whose recovery the request tests: one on probation or, if a
// retry is left in case the request fails, a suspected one in this data centre that is due for a
// probe.
func chooseForRecovery(now time.Time, s *Service) Choice {
	if target, ok := s.Pool.PickProbation(now); ok {
		return Choice{Target: target, Probation: true}
	}
	if !s.RetryLeft(now) {
		return Choice{}
	}
	target, _ := s.Pool.PickProbe(now)
	return Choice{Target: target, RefuseIfBusy: true}
}

// mayQuerySlot reports whether another backend server may be queried for a free slot. A subrequest
// queries all: a refusal wastes the work of the request that needs it, which costs more than the
// round trips.
func mayQuerySlot(r Request, h *History) bool {
	if r.Subrequest {
		return true
	}
	limit := maxSlotQueries
	if r.Service.Pool.BusyShare() > highBusyShare {
		limit = maxSlotQueriesBusy
	}
	return len(h.Busy) < limit && h.BusyRemote < maxSlotQueriesRemote
}

// chooseForSlot returns a target to query for a free slot. A request that cannot be retried goes to
// a target that does not appear to hang, unless so many have refused it for that reason that it is
// sent to any.
func chooseForSlot(now time.Time, r Request, h *History) Choice {
	pool := r.Service.Pool
	lastChance := r.NonIdempotent || h.Sent > 0 || !r.Service.RetryLeft(now)
	if lastChance && len(h.Hanging) < r.maxHangingRefusals() && !r.Service.IgnoreHanging {
		if target, ok := pool.Pick(now, slices.Concat(h.Tried, h.Hanging)); ok {
			return Choice{Target: target, RefuseIfBusy: true, RefuseIfHanging: true}
		}
	}
	target, _ := pool.Pick(now, h.Tried)
	return Choice{Target: target, RefuseIfBusy: true}
}

// maxHangingRefusals returns the number of refusals by backend servers that appear to hang after which
// the request is sent to any.
func (r Request) maxHangingRefusals() int {
	if r.Long && r.NonIdempotent {
		return maxHangingRefusalsLong
	}
	return maxHangingRefusals
}

// mayInsist reports whether the request may be sent to a suspected target because no other is left. A retry
// of a long request is not, if targets that are not suspected refused it for want of retry budget or of a
// slot: it would most likely fail once more, and use up a retry that the service needs where it can succeed.
func (r Request) mayInsist(h *History) bool {
	return !r.Long || h.Sent == 0 || h.shortUnsuspected == 0
}

// mayFindBetter reports whether another selection may find a better target, which it cannot if
// queues are full or all targets were tried. If no backend server is known yet, one may become
// known.
func (h *History) mayFindBetter(pool *balance.Pool) bool {
	known := len(pool.Targets())
	return h.FullQueues == 0 && !pool.AllEvacuated() && (known == 0 || len(h.Tried) < known)
}

// hasTimeToReselect reports whether the request has time for another selection.
func (r Request) hasTimeToReselect(now time.Time) bool {
	searchTime := r.LatencyTargetAt.Sub(r.StartedAt) / selectionTimeDivisor
	return searchTime-now.Sub(r.StartedAt) > SelectionRetryDelay
}
