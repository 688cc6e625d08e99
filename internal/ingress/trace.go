package ingress

import (
	"net/http"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
)

// attemptTrace is what became of a request's attempts so far.
type attemptTrace struct {
	tried      []*balance.Target
	busy       []busyTarget      // those that had no free slot
	hanging    []*balance.Target // that seemed to hang
	answer     *http.Response    // a failure of a backend server, if nothing better comes
	busyFar    int               // how many of the busy ones were in other data centres
	sent       int               // that reached a backend server
	full       int               // that met a full queue
	limited    int               // that had no retry left
	passedOver passedOver        // that only sent the request on
	unchecked  bool              // it may go where requests seem to hang, for an experiment
	grant      retryGrant        // that was taken for the next attempt
	last       *result.Error
	mayHaveRun *result.Error // the last that may have run; nil if none may
}

// busyTarget is a target without a free slot, and how long a wait for one is.
type busyTarget struct {
	target *balance.Target
	wait   time.Duration
}

// take takes an attempt that failed, or whose answer is kept if nothing better comes, and
// returns its failure.
func (t *attemptTrace) take(f finished) *result.Error {
	var failure *result.Error
	if f.err == nil {
		failure = t.keep(f.response)
	} else {
		failure = result.From(f.err)
	}
	t.add(f.attempt.choice, failure, f.attempt.far())
	return failure
}

// add takes the failure of an attempt.
func (t *attemptTrace) add(c choice, failure *result.Error, far bool) {
	meaning := failures.Of(failure.Code)
	if meaning.Target == failures.NoRetries {
		t.limited++
		t.tried = append(t.tried, c.target)
		if t.last == nil { // else the failure before it is what the caller is told
			t.last = failure
		}
		return
	}
	t.addTarget(c.target, failure, far)
	t.last = failure
	if failure.Code.Ran == result.RanUnknown {
		t.mayHaveRun = failure
	}
	if meaning.Reached {
		t.sent++
	}
	if meaning.Target == failures.QueueFull {
		t.full++
	}
}

// addTarget keeps whether the target may be asked once more.
func (t *attemptTrace) addTarget(target *balance.Target, failure *result.Error, far bool) {
	switch failures.Of(failure.Code).Target {
	case failures.Suspected: // may be asked again, and is passed over until then
	case failures.Hanging:
		t.hanging = append(t.hanging, target)
	case failures.NoSlot:
		if far {
			t.busyFar++
		}
		t.busy = append(t.busy, busyTarget{target, failure.RetryAfter})
		t.tried = append(t.tried, target)
	case failures.Unchanged, failures.QueueFull, failures.NoRetries, failures.NoWork, failures.HostUnreachable, failures.HostSilent, failures.Unreachable:
		t.tried = append(t.tried, target)
	}
}

// mayFind says whether another look may find somebody: not if queues are full or
// everybody was tried. Where nobody is known yet somebody may soon be.
func (t *attemptTrace) mayFind(r *request) bool {
	known := len(r.service.pool.Targets())
	return t.full == 0 && (known == 0 || len(t.tried) < known)
}

// notBusy returns those that were tried, but for those that only had no free slot then.
func (t *attemptTrace) notBusy() []*balance.Target {
	isBusy := func(tried *balance.Target) bool {
		return slices.ContainsFunc(t.busy, func(b busyTarget) bool { return b.target == tried })
	}
	return slices.DeleteFunc(slices.Clone(t.tried), isBusy)
}

// leastBusy takes the target out where the wait is shortest.
func (t *attemptTrace) leastBusy() *balance.Target {
	best := 0
	for i := range t.busy {
		if t.busy[i].wait < t.busy[best].wait {
			best = i
		}
	}
	target := t.busy[best].target
	t.busy = slices.Delete(t.busy, best, best+1)
	return target
}

// keep keeps a failure of a backend server as the answer if nothing better comes,
// in place of the one before, and returns it as a failure.
func (t *attemptTrace) keep(answer *http.Response) *result.Error {
	t.drop()
	t.answer = answer
	return result.New(result.ServerError).WithDetail("status %d", answer.StatusCode)
}

// end returns the answer of a backend server if there is one, and else the
// failure.
func (t *attemptTrace) end(failure *result.Error) (*http.Response, error) {
	if t.answer != nil {
		return t.answer, nil
	}
	return nil, failure
}

// drop closes the answer that is not needed any more.
func (t *attemptTrace) drop() {
	if t.answer != nil {
		_ = t.answer.Body.Close() // it was read whole
	}
}
