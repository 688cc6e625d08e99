package attempts

import (
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
)

// History records the attempts of a request so far. The zero value is the history of a request that
// has not been sent yet.
type History struct {
	// Tried holds the backend servers that are not chosen again.
	Tried []*balance.Target
	// Busy holds the tried backend servers that had no free slot; the request may still wait there.
	Busy []Busy
	// BusyRemote is the number of them that are in other data centres.
	BusyRemote int
	// Hanging holds the backend servers that refused because they appear to hang.
	Hanging []*balance.Target
	// Sent is the number of attempts that reached a backend server, or may have.
	Sent int
	// FullQueues is the number of refusals because of a full queue.
	FullQueues int
	// LimitRefusals is the number of refusals because of a limit that a backend server names.
	LimitRefusals int
	// RetryRefusals is the number of refusals because the retry budget has no room for the calls of
	// a retry.
	RetryRefusals int
	// insisted holds the backend servers that were chosen despite suspicion.
	insisted []*balance.Target
	// shortUnsuspected is the number of refusals by others because of a full queue or for lack of retry budget.
	shortUnsuspected int
	// Last is the last failure; nil if there was none.
	Last *result.Error
	// MayHaveRun is the last failure after which the request may have run; nil if there was none.
	MayHaveRun *result.Error
}

// Busy is a backend server that had no free slot.
type Busy struct {
	Target *balance.Target
	// Wait is the wait for a slot that it reported.
	Wait time.Duration
}

// Record records an attempt that failed at the target. remote is set if the target is in another
// data centre.
func (h *History) Record(target *balance.Target, failure *result.Error, remote bool) {
	class := failures.Classify(failure.Code)
	h.recordTarget(target, class.Target, failure.RetryAfter, remote)
	if class.Target == failures.NoRetryBudget && h.Last != nil {
		return // the failure that led to the retry is returned to the caller
	}
	h.Last = failure
	if failure.Code.Ran == result.RanUnknown {
		h.MayHaveRun = failure
	}
	if class.Reached {
		h.Sent++
	}
}

// recordTarget records the state of the target after the failure, and whether it may be chosen
// again.
func (h *History) recordTarget(target *balance.Target, state failures.TargetState, wait time.Duration, remote bool) {
	switch state {
	case failures.Suspected: // may be chosen again once its suspicion ends, or if no other is left
		return
	case failures.Hanging: // may be chosen again if others hang too
		h.Hanging = append(h.Hanging, target)
		return
	case failures.NoSlot:
		h.Busy = append(h.Busy, Busy{target, wait})
		if remote {
			h.BusyRemote++
		}
	case failures.QueueFull:
		h.FullQueues++
		h.countShort(target)
	case failures.Limited:
		h.LimitRefusals++
	case failures.NoRetryBudget:
		h.RetryRefusals++
		h.countShort(target)
	case failures.Unchanged, failures.NotAccepting, failures.HostUnreachable, failures.HostUnresponsive, failures.Unreachable:
	}
	h.Tried = append(h.Tried, target)
}

// countShort counts the refusal of a target that was not chosen despite suspicion.
func (h *History) countShort(target *balance.Target) {
	if !slices.Contains(h.insisted, target) {
		h.shortUnsuspected++
	}
}

// triedNotBusy returns the tried targets except those that only had no free slot.
func (h *History) triedNotBusy() []*balance.Target {
	isBusy := func(tried *balance.Target) bool {
		return slices.ContainsFunc(h.Busy, func(b Busy) bool { return b.Target == tried })
	}
	return slices.DeleteFunc(slices.Clone(h.Tried), isBusy)
}

// removeLeastBusy removes the target with the shortest wait from h.Busy and returns it.
func (h *History) removeLeastBusy() *balance.Target {
	best := 0
	for i := range h.Busy {
		if h.Busy[i].Wait < h.Busy[best].Wait {
			best = i
		}
	}
	target := h.Busy[best].Target
	h.Busy = slices.Delete(h.Busy, best, best+1)
	return target
}

// removeHanging removes the targets that appeared to hang from h.Hanging, up to the first that has
// not refused for another reason since, and returns that one; nil if there is none.
func (h *History) removeHanging() *balance.Target {
	for len(h.Hanging) > 0 {
		target := h.Hanging[0]
		h.Hanging = h.Hanging[1:]
		if !slices.Contains(h.Tried, target) {
			return target
		}
	}
	return nil
}
