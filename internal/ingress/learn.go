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
	// refusedPause is how long a target that takes no requests is skipped if its refusal has no
	// Retry-After.
	refusedPause = time.Second
	// remoteSuspicionPause is how long ingresses of other data centres skip a suspected target
	// unless they are notified earlier that it is trusted again. They usually have nearer targets,
	// so the pause only matters if that notification is lost.
	remoteSuspicionPause = 4 * time.Second
	// unreachablePause is how long an unreachable target is skipped. It keeps most requests from
	// trying the target, and is short compared to the start of a backend server.
	unreachablePause = 500 * time.Millisecond
)

// learnFromAnswer records what the header of an answer shows about the target.
func (a *attempt) learnFromAnswer(answer sidecar.Answer, took time.Duration) {
	a.request.service.pool.RecordLoad(a.Target, answer.Load, time.Now())
	a.request.service.pool.RecordFailureShare(a.Target, answer.Failing, time.Now())
	a.Target.RecordServerLimit(answer.Limit)
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

// learnFromFailure records what a failure shows about the target, and skips a target that refuses
// requests for a while.
func (a *attempt) learnFromFailure(failure *result.Error, took time.Duration) {
	classification := failures.Classify(failure.Code)
	if classification.Reached {
		a.Target.RecordFailure()
	}
	a.report(detect.Observation{Outcome: classification.Evidence, Latency: took, WasOverdue: a.overdue.Load()}, classification.Evidence != "")
	pool := a.request.service.pool
	switch classification.Target {
	case failures.NoSlot:
		pool.RecordLoad(a.Target, 1, time.Now())
		pool.RecordSlotCheck(false)
	case failures.Limited:
		pool.RecordLoad(a.Target, 1, time.Now())
		pool.Pause(a.Target, time.Now().Add(limitPause(failure)))
	case failures.Suspected:
		pool.Suspect(a.Target, time.Now().Add(a.suspicionPause(failure)))
	case failures.NotAccepting:
		pool.Pause(a.Target, time.Now().Add(pauseFor(failure)))
	case failures.HostUnreachable, failures.HostUnresponsive:
		a.skipHost(classification.Target)
	case failures.Unreachable:
		pool.Pause(a.Target, time.Now().Add(unreachablePause))
	case failures.Unchanged, failures.QueueFull, failures.Hanging, failures.NoRetryBudget: // nothing to remember beyond the request
	}
}

// skipHost skips the backend servers of the target's unreachable host until the host answers a
// ping. If pings are disabled, it skips only this target, for a short time, and only if no
// connection could be made.
func (a *attempt) skipHost(state failures.TargetState) {
	if a.in.config.Ping != nil {
		a.in.hostMonitor.recordUnreachable(a.Target.Placement().Host)
		return
	}
	if state == failures.HostUnreachable {
		a.request.service.pool.Pause(a.Target, time.Now().Add(unreachablePause))
	}
}

// report sends the attempt's observation to the service's outlier detector.
func (a *attempt) report(saw detect.Observation, isEvidence bool) {
	if !isEvidence && !a.Probation {
		return
	}
	if a.Probation && saw.Outcome == detect.Overdue {
		return // the end of the probation is recorded instead
	}
	a.request.service.outlierDetector.record(observation{target: a.Target, probation: a.Probation, isEvidence: isEvidence, saw: saw})
}

// suspicionPause returns how long to skip a suspected target. Ingresses of its data centre try it
// again by themselves, each after a random time to spread their requests. All ingresses that it
// refused are notified when it is trusted again.
func (a *attempt) suspicionPause(failure *result.Error) time.Duration {
	if a.inOtherDataCentre() {
		return remoteSuspicionPause
	}
	return failure.RetryAfter + rand.N(failure.RetryAfter+1)
}

// limitPause returns how long to skip a target whose limit is used up. The random part spreads the requests of all
// ingresses.
func limitPause(failure *result.Error) time.Duration {
	return failure.RetryAfter + rand.N(failure.RetryAfter/4+1)
}

// pauseFor returns how long to skip a target that takes no requests.
func pauseFor(failure *result.Error) time.Duration {
	if failure.RetryAfter > 0 {
		return failure.RetryAfter
	}
	return refusedPause
}
