package ingress

import (
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
)

const (
	// maxLooks is how many backend servers are asked for a free slot before the
	// request waits at one. Source: at four fifths of the load each has a free slot
	// with a chance of a half, so that four leave one request in sixteen to wait.
	maxLooks = 4
	// crowded is the share of busy answers from which fewer are asked. Source: where
	// three in four have no slot, asking another costs a round trip and finds little.
	crowded = 0.75
	// crowdedLooks is how many are asked then.
	crowdedLooks = 2
	// maxFarLooks is how many of them may be in other data centres, to which bytes
	// are dear and round trips long.
	maxFarLooks = 1
	// maxHanging is how many backend servers are asked for one that does not seem to
	// hang, before any will do. Source: five in place of two served no more.
	maxHanging = 2
)

// choice is whom to ask next, and how.
type choice struct {
	target *balance.Target
	// probation says that the request shows whether the target has recovered.
	probation bool
	// refuseIfBusy asks for a refusal in place of a wait for a slot.
	refuseIfBusy bool
	// refuseIfHanging asks for a refusal if the target seems to hang.
	refuseIfHanging bool
	// grant is what was taken for it if the request has reached a backend server, or may yet.
	grant retryGrant
	// despiteSuspicion says that nobody else is left, so that suspicion is no reason to refuse.
	despiteSuspicion bool
	// reservation is the leave of the target's sidecar to run the request; it may be
	// empty.
	reservation string
}

// choose says whom to ask next: first for a free slot, then where the wait for
// one is shortest, and one that is suspected if nobody else is left. A first
// attempt that may be retried goes to one on probation or under suspicion, if there is one;
// what must not be lost goes to one that has just shown that it is well, if that
// is soon found.
func (in *Ingress) choose(r *request, trace *attemptTrace) (choice, bool) {
	now := time.Now()
	pool := r.service.pool
	if !r.nonIdempotent && len(trace.tried) == 0 {
		if c, ok := r.service.findOut(now); ok {
			return c, true
		}
	}
	if trace.mayLook(r) {
		if c, ok := trace.look(r, now); ok {
			return c, true
		}
	}
	if len(trace.busy) > 0 {
		return choice{target: trace.leastBusy()}, true
	}
	if trace.full > 0 && !r.subrequest {
		return choice{}, false // a suspected one would most likely fail it, and a refusal is true
	}
	target, ok := pool.PickSuspected(now, trace.tried)
	return choice{target: target, despiteSuspicion: true}, ok
}

// findOut chooses a target of which a request shows whether it is well again: one on
// probation, or one of this data centre that was suspected and may be tried again, if
// there is a retry left for a failure.
func (s *service) findOut(now time.Time) (choice, bool) {
	if target, ok := s.pool.PickProbation(now); ok {
		return choice{target: target, probation: true}, true
	}
	if !s.limit.left(now) {
		return choice{}, false
	}
	target, ok := s.pool.PickProbe(now)
	return choice{target: target, refuseIfBusy: true}, ok
}

// patience is how long a request may look for a backend server that is not
// suspected. Source: a refusal is best given within a quarter of the time in which
// an answer is worth most.
func (r *request) patience(now time.Time) time.Duration {
	const part = 4
	return r.targetAt.Sub(r.began)/part - now.Sub(r.began)
}

// mayLook says whether another is asked for a free slot. For a call of a backend server all are:
// a refusal wastes what was done for the request that needs it, which costs more than a round
// trip to each.
func (t *attemptTrace) mayLook(r *request) bool {
	if r.subrequest {
		return true
	}
	looks := maxLooks
	if r.service.pool.BusyShare() > crowded {
		looks = crowdedLooks
	}
	return len(t.busy) < looks && t.busyFar < maxFarLooks
}

// look chooses one to ask for a free slot.
func (t *attemptTrace) look(r *request, now time.Time) (choice, bool) {
	mustNotFail := r.nonIdempotent || t.sent > 0 || !r.service.limit.left(now)
	refuseIfHanging := mustNotFail && len(t.hanging) < maxHanging && !t.unchecked
	if refuseIfHanging {
		if target, ok := r.service.pool.Pick(now, slices.Concat(t.tried, t.hanging)); ok {
			return choice{target: target, refuseIfBusy: true, refuseIfHanging: true}, true
		}
	}
	target, ok := r.service.pool.Pick(now, t.tried)
	return choice{target: target, refuseIfBusy: true}, ok
}
