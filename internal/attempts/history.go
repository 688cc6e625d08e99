package attempts

import (
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
)

// History is what became of a request's attempts so far. The zero value is that of a request
// that was not sent yet.
type History struct {
	// Tried are the backend servers that are not chosen again.
	Tried []*balance.Target
	// Busy are those of them that had no free slot; the request may still wait there.
	Busy []Busy
	// BusyFar is how many of them are in other data centres.
	BusyFar int
	// Hanging are backend servers that refused since they seem to hang.
	Hanging []*balance.Target
	// Sent is how many attempts reached a backend server, or may have.
	Sent int
	// FullQueues is how many refused for a full queue.
	FullQueues int
	// RetryRefusals is how many refused since they have no room for what a retry calls.
	RetryRefusals int
	// Last is the last failure; nil if there was none.
	Last *result.Error
	// MayHaveRun is the last failure after which the request may have run; nil if there was none.
	MayHaveRun *result.Error
}

// Busy is a backend server that had no free slot.
type Busy struct {
	// Target is the backend server.
	Target *balance.Target
	// Wait is how long it takes to get a slot there, as it said.
	Wait time.Duration
}

// Record enters an attempt that failed at the target, which is far if it is in another data
// centre.
func (h *History) Record(target *balance.Target, failure *result.Error, far bool) {
	meaning := failures.Classify(failure.Code)
	h.recordTarget(target, meaning.Target, failure.RetryAfter, far)
	if meaning.Target == failures.NoRetryBudget && h.Last != nil {
		return // the failure that asked for a retry is what the caller is told
	}
	h.Last = failure
	if failure.Code.Ran == result.RanUnknown {
		h.MayHaveRun = failure
	}
	if meaning.Reached {
		h.Sent++
	}
}

// recordTarget enters what the failure says of the target, and whether it may be chosen again.
func (h *History) recordTarget(target *balance.Target, state failures.TargetState, wait time.Duration, far bool) {
	switch state {
	case failures.Suspected: // may be chosen again once it is trusted, or if no other is left
		return
	case failures.Hanging: // may be chosen again if others hang too
		h.Hanging = append(h.Hanging, target)
		return
	case failures.NoSlot:
		h.Busy = append(h.Busy, Busy{target, wait})
		if far {
			h.BusyFar++
		}
	case failures.QueueFull:
		h.FullQueues++
	case failures.NoRetryBudget:
		h.RetryRefusals++
	case failures.Unchanged, failures.NotAccepting, failures.HostUnreachable, failures.HostUnresponsive, failures.Unreachable:
	}
	h.Tried = append(h.Tried, target)
}

// triedNotBusy returns those that were tried, without those that only had no free slot then.
func (h *History) triedNotBusy() []*balance.Target {
	isBusy := func(tried *balance.Target) bool {
		return slices.ContainsFunc(h.Busy, func(b Busy) bool { return b.Target == tried })
	}
	return slices.DeleteFunc(slices.Clone(h.Tried), isBusy)
}

// takeLeastBusy takes the target out where the wait is shortest.
func (h *History) takeLeastBusy() *balance.Target {
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
