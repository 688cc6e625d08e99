package ingress

import (
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retry"
)

// maxLooks is how many backend servers are asked for a free slot before the
// request waits at one. Source: at four fifths of the load each has a free slot
// with a chance of a half, so that four leave one request in sixteen to wait.
const maxLooks = 4

// choice is whom to ask next, and how.
type choice struct {
	target *balance.Target
	// trial says that the request shows whether the target has recovered.
	trial bool
	// noWait asks for a refusal in place of a wait for a slot.
	noWait bool
	// insist says that nobody else is left, so that doubt is no reason to refuse.
	insist bool
}

// trail is what became of a request's attempts so far.
type trail struct {
	tried      []*balance.Target
	busy       []busyTarget // those that had no free slot
	sent       int          // that reached a backend server
	full       int          // that met a full queue
	last       *result.Error
	mayHaveRun *result.Error // the last that may have run; nil if none may
}

// busyTarget is a target without a free slot, and how long a wait for one is.
type busyTarget struct {
	target *balance.Target
	wait   time.Duration
}

func (t *trail) add(c choice, failure *result.Error) {
	switch failure.Code.Number {
	case result.Doubted.Number: // may be asked again, and is passed over until then
	case result.Busy.Number:
		t.busy = append(t.busy, busyTarget{c.target, failure.RetryAfter})
		t.tried = append(t.tried, c.target)
	default:
		t.tried = append(t.tried, c.target)
	}
	t.last = failure
	if failure.Code.Ran == result.RanUnknown {
		t.mayHaveRun = failure
	}
	if retry.Reached(failure.Code) {
		t.sent++
	}
	if retry.IsFull(failure.Code) {
		t.full++
	}
}

// choose says whom to ask next: first for a free slot, then where the wait for
// one is shortest, and one that is doubted if nobody else is left. A first
// attempt that may be repeated goes to one on trial, if there is one.
func choose(r *request, story *trail) (choice, bool) {
	now := time.Now()
	pool := r.service.pool
	if !r.once && len(story.tried) == 0 {
		if target, ok := pool.PickTrial(now); ok {
			return choice{target: target, trial: true}, true
		}
	}
	if len(story.busy) < maxLooks {
		if target, ok := pool.Pick(now, story.tried); ok {
			return choice{target: target, noWait: true}, true
		}
	}
	if len(story.busy) > 0 {
		return choice{target: story.leastBusy()}, true
	}
	target, ok := pool.PickDoubted(now, story.tried)
	return choice{target: target, insist: true}, ok
}

// leastBusy takes the target out where the wait is shortest.
func (t *trail) leastBusy() *balance.Target {
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
