package ingress

import (
	"math/rand/v2"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

const (
	// refusedPause is how long a target that takes no work is passed over when it does not say for
	// how long. Not measured: a daemon that starts again is back in a second.
	refusedPause = time.Second
	// farStaysAway is how long ingresses of other data centres keep away from a suspected target
	// unless they are told earlier that it is trusted again. Not measured: they have others nearer,
	// and it bounds only the case that what they are told is lost.
	farStaysAway = 4 * time.Second
	// unreachablePause is how long a target that cannot be reached is passed over. Not measured:
	// long enough that not each request tries it, short beside the start of a backend server.
	unreachablePause = 500 * time.Millisecond
)

// learnFromAnswer records what the head of an answer shows.
func (a *attempt) learnFromAnswer(answer sidecar.Answer, took time.Duration) {
	a.request.service.pool.RecordLoad(a.Target, answer.Load, time.Now())
	a.request.service.pool.RecordFailureShare(a.Target, answer.Failing, time.Now())
	if a.RefuseIfBusy {
		a.request.service.pool.RecordSlotCheck(true)
	}
	outcome, isEvidence := detect.OutcomeFromResponse(answer.Response)
	switch {
	case isEvidence && outcome != detect.OK:
		a.Target.RecordFailure()
	case isEvidence:
		a.request.latency.Observe(took)
	}
	a.report(detect.Observation{Outcome: outcome, Latency: took, WasOverdue: a.overdue.Load()}, isEvidence)
}

// learnFromFailure records what a failure shows, and passes a target over for a while that refuses.
func (a *attempt) learnFromFailure(failure *result.Error, took time.Duration) {
	meaning := failures.Classify(failure.Code)
	if meaning.Reached {
		a.Target.RecordFailure()
	}
	a.report(detect.Observation{Outcome: meaning.Evidence, Latency: took, WasOverdue: a.overdue.Load()}, meaning.Evidence != "")
	pool := a.request.service.pool
	switch meaning.Target {
	case failures.NoSlot:
		pool.RecordLoad(a.Target, 1, time.Now())
		pool.RecordSlotCheck(false)
	case failures.Suspected:
		pool.Suspect(a.Target, time.Now().Add(a.stayAway(failure)))
	case failures.NotAccepting:
		pool.Pause(a.Target, time.Now().Add(pauseFor(failure)))
	case failures.HostUnreachable, failures.HostUnresponsive:
		a.passOverHost(meaning.Target)
	case failures.Unreachable:
		pool.Pause(a.Target, time.Now().Add(unreachablePause))
	case failures.Unchanged, failures.QueueFull, failures.Hanging, failures.NoRetryBudget: // nothing that outlasts the request
	}
}

// passOverHost passes the backend servers of the target's host over, which could not be reached, until
// it answers; without a way to ask it only this one, for a moment.
func (a *attempt) passOverHost(state failures.TargetState) {
	if a.in.config.Ping != nil {
		a.in.reach.recordLost(a.Target.Placement().Host)
		return
	}
	if state == failures.HostUnreachable {
		a.request.service.pool.Pause(a.Target, time.Now().Add(unreachablePause))
	}
}

// report gives the service's judge what the attempt saw.
func (a *attempt) report(saw detect.Observation, isEvidence bool) {
	if !isEvidence && !a.Probation {
		return
	}
	if a.Probation && saw.Outcome == detect.Overdue {
		return // the probation's end says more
	}
	a.request.service.judge.record(observation{target: a.Target, probation: a.Probation, isEvidence: isEvidence, saw: saw})
}

// stayAway is how long to keep away from a suspected target. Those near it find out
// when it is well again, each at a time of its own; whoever was turned away is
// told then.
func (a *attempt) stayAway(failure *result.Error) time.Duration {
	if a.far() {
		return farStaysAway
	}
	return failure.RetryAfter + rand.N(failure.RetryAfter+1)
}

// pauseFor is how long to pass over a target that takes no work.
func pauseFor(failure *result.Error) time.Duration {
	if failure.RetryAfter > 0 {
		return failure.RetryAfter
	}
	return refusedPause
}
