package attempts

import (
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
)

const (
	// maxAsked is how many backend servers are asked for a free slot before the request waits
	// at one. Source: at four fifths of the load each has a free slot with a chance of a half,
	// so that four leave one request in sixteen to wait.
	maxAsked = 4
	// crowded is the share of busy answers from which fewer are asked. Source: where three in
	// four have no slot, asking another costs a round trip and finds little.
	crowded = 0.75
	// maxAskedCrowded is how many are asked then.
	maxAskedCrowded = 2
	// maxAskedFar is how many of them may be in other data centres, to which bytes are dear and
	// round trips long.
	maxAskedFar = 1
	// maxHanging is how many backend servers are asked for one that does not seem to hang,
	// before any will do. Source: five in place of two served no more.
	maxHanging = 2
	// SelectionRetryDelay is the pause before a request that finds only suspected backend servers,
	// or none, looks again. Source: one is trusted again within some tens of milliseconds of the
	// first proof.
	SelectionRetryDelay = 50 * time.Millisecond
	// lookAgainDivisor divides the time in which an answer is worth most into what a request may
	// spend on the search for a backend server that is not suspected. Source: a refusal is best
	// given within a quarter of that time.
	lookAgainDivisor = 4
)

// Choice is the backend server to ask next, and how.
type Choice struct {
	// Target is the backend server; nil if there is none to ask.
	Target *balance.Target
	// Probation says that the request shows whether the target has recovered.
	Probation bool
	// RefuseIfBusy asks for a refusal in place of a wait for a slot.
	RefuseIfBusy bool
	// RefuseIfHanging asks for a refusal if the target seems to hang.
	RefuseIfHanging bool
	// DespiteSuspicion says that no other is left, so that suspicion is no reason to refuse.
	DespiteSuspicion bool
	// RetrySelection says that the request has the time to choose again after LookAgainAfter, when a
	// better target may be found.
	RetrySelection bool
}

// Choose returns the backend server to ask next. A target that is on probation, that is to show whether it is
// well or that the request waits at is taken: no other choice has it.
func Choose(now time.Time, t Request, h *History) Choice {
	c := choose(now, t, h)
	found := c.Target != nil && !c.DespiteSuspicion
	c.RetrySelection = !found && h.mayFindAnother(t.Service.Pool) && t.mayLookAgain(now)
	return c
}

func choose(now time.Time, t Request, h *History) Choice {
	if !t.NonIdempotent && len(h.Tried) == 0 {
		if c := toRecover(now, t.Service); c.Target != nil {
			return c
		}
	}
	if mayAskForSlot(t, h) {
		if c := toAskForSlot(now, t, h); c.Target != nil {
			return c
		}
	}
	if len(h.Busy) > 0 {
		return Choice{Target: h.takeLeastBusy()}
	}
	if h.FullQueues > 0 && !t.Subrequest {
		return Choice{} // a suspected one would most likely fail it, and a refusal is true
	}
	target, _ := t.Service.Pool.PickSuspected(now, h.Tried)
	return Choice{Target: target, DespiteSuspicion: true}
}

// toRecover chooses a target of which a request shows whether it is well again: one on probation,
// or one of this data centre that was suspected and may be tried again, if there is a retry left
// for a failure.
func toRecover(now time.Time, s *Service) Choice {
	if target, ok := s.Pool.PickProbation(now); ok {
		return Choice{Target: target, Probation: true}
	}
	if !s.RetryLeft(now) {
		return Choice{}
	}
	target, _ := s.Pool.PickProbe(now)
	return Choice{Target: target, RefuseIfBusy: true}
}

// mayAskForSlot reports whether another is asked for a free slot. For a subrequest all are: a
// refusal wastes what was done for the request that needs it, which costs more than a round trip
// to each.
func mayAskForSlot(t Request, h *History) bool {
	if t.Subrequest {
		return true
	}
	most := maxAsked
	if t.Service.Pool.BusyShare() > crowded {
		most = maxAskedCrowded
	}
	return len(h.Busy) < most && h.BusyFar < maxAskedFar
}

// toAskForSlot chooses one to ask for a free slot. A request that has no second chance goes to one
// that does not seem to hang, if that is soon found.
func toAskForSlot(now time.Time, t Request, h *History) Choice {
	pool := t.Service.Pool
	lastChance := t.NonIdempotent || h.Sent > 0 || !t.Service.RetryLeft(now)
	if lastChance && len(h.Hanging) < maxHanging && !t.Service.IgnoreHanging {
		if target, ok := pool.Pick(now, slices.Concat(h.Tried, h.Hanging)); ok {
			return Choice{Target: target, RefuseIfBusy: true, RefuseIfHanging: true}
		}
	}
	target, _ := pool.Pick(now, h.Tried)
	return Choice{Target: target, RefuseIfBusy: true}
}

// mayFindAnother reports whether another look may find a better target: not if queues are full or
// all were tried. Where no backend server is known yet, one may soon be.
func (h *History) mayFindAnother(pool *balance.Pool) bool {
	known := len(pool.Targets())
	return h.FullQueues == 0 && (known == 0 || len(h.Tried) < known)
}

// mayLookAgain reports whether the request has the time for another look.
func (t Request) mayLookAgain(now time.Time) bool {
	patience := t.TargetAt.Sub(t.StartedAt) / lookAgainDivisor
	return patience-now.Sub(t.StartedAt) > SelectionRetryDelay
}
