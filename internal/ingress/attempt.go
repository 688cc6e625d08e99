package ingress

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/sidecar"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// noneAbleRetry is when to come back to a service that nobody can serve.
	noneAbleRetry = time.Second
	// refusedPause is how long a target that takes no work is passed over
	// when it does not say for how long.
	refusedPause = time.Second
	// farStaysAway is how long ingresses of other data centres keep away from a
	// doubted target unless they are told earlier that it is trusted again.
	farStaysAway = 4 * time.Second
	// unreachablePause is how long a target that cannot be reached is passed over.
	unreachablePause = 500 * time.Millisecond
)

// errOverdue ends an attempt that takes far longer than others would.
var errOverdue = errors.New("attempt is overdue")

// attempts tries the request on one backend server after another until one
// answers or the failure is final.
func (in *Ingress) attempts(ctx context.Context, r *request) (*http.Response, error) {
	r.service.budget.Earn()
	var story trail
	for {
		next, ok := in.choose(r, &story)
		if (!ok || next.insist) && in.waitABit(ctx, r) {
			continue
		}
		if !ok {
			return story.end(worst(story.mayHaveRun, noneAble(story.last)))
		}
		a := &attempt{in: in, request: r, choice: next, first: story.sent == 0}
		response, err := a.run(ctx)
		if err == nil && !mayImprove(r, response) {
			story.drop()
			return response, nil
		}
		if err == nil {
			story.drop()
			story.answer = response
			err = result.New(result.ServerError).WithDetail("status %d", response.StatusCode)
		}
		story.add(next, result.From(err), a.far())
		again := in.again(r, a, &story)
		in.logAttempt(r, a, &story, again)
		if !again {
			return story.end(worst(story.mayHaveRun, story.last))
		}
		in.metrics.retried.Inc(story.last.Code)
	}
}

// lookAgainAfter is the pause before a request that finds only doubted backend
// servers looks again. Source: one is trusted again within some tens of
// milliseconds of the first proof.
const lookAgainAfter = 50 * time.Millisecond

// waitABit waits before another look, if the request has time for one.
func (in *Ingress) waitABit(ctx context.Context, r *request) bool {
	return r.patience(time.Now()) > lookAgainAfter && wait.For(ctx, lookAgainAfter)
}

// mayImprove says whether another backend server may give a better answer than
// this failure, which has been read whole.
func mayImprove(r *request, response *http.Response) bool {
	return !r.once && response.StatusCode >= http.StatusInternalServerError && response.ContentLength >= 0
}

// end returns the answer of a backend server if there is one, and else the
// failure.
func (t *trail) end(failure *result.Error) (*http.Response, error) {
	if t.answer != nil {
		return t.answer, nil
	}
	return nil, failure
}

// drop closes the answer that is not needed any more.
func (t *trail) drop() {
	if t.answer != nil {
		_ = t.answer.Body.Close() // it was read whole
	}
}

func (in *Ingress) logAttempt(r *request, a *attempt, story *trail, again bool) {
	event.Log(in.config.Logger, event.AttemptFailed,
		"request", in.requestID(r.Request), "service", r.name, "backend_server", a.target.Name, "trial", a.trial,
		"no_wait", a.noWait, "proven", a.proven, "insist", a.insist,
		"tried", len(story.tried), "sent", story.sent, "once", r.once, "code", story.last.Code.Number, "result", story.last.Code.Name,
		"why", story.last.Error(), "again", again)
}

// worst is the failure to tell the caller: "not run" is true only if it is true
// of every attempt, so one that may have run goes first. When to come back is
// what the last one said.
func worst(mayHaveRun, last *result.Error) *result.Error {
	if mayHaveRun == nil || last.Code.Ran == result.RanUnknown {
		return last
	}
	return mayHaveRun.WithRetryAfter(last.RetryAfter)
}

// again says whether the last failed attempt may be followed by another.
func (in *Ingress) again(r *request, a *attempt, story *trail) bool {
	if r.body.Spent() {
		return false
	}
	if retry.IsFull(story.last.Code) && time.Now().After(r.patient) {
		return false // the others are as full, and it has waited for its time
	}
	decision := retry.Decide(retry.Attempt{Sent: story.sent, Most: r.attempts, Full: story.full, Once: r.once, Err: story.last})
	switch decision {
	case retry.Free:
		return true
	case retry.Again:
		return a.spent.Load() || r.service.budget.Spend()
	case retry.Final:
	}
	return false
}

func takesNoWork(failure *result.Error) bool {
	switch failure.Code.Number {
	case result.Leaving.Number, result.Stopping.Number, result.UnknownServer.Number, result.Ejected.Number, result.Doubted.Number:
		return true
	default:
		return false
	}
}

// noneAble is the answer when no target is left to try: the last failure if
// there was one.
func noneAble(last *result.Error) *result.Error {
	if last == nil || takesNoWork(last) {
		return result.New(result.NoneAble).WithRetryAfter(noneAbleRetry)
	}
	return last
}

// attempt is one sending of a request to one backend server.
type attempt struct {
	in      *Ingress
	request *request
	choice
	first   bool        // no attempt before it reached a backend server
	overdue atomic.Bool // it took far longer than others would
	spent   atomic.Bool // a retry was taken from the budget for it
}

// run sends the request and returns the head of the answer.
func (a *attempt) run(ctx context.Context) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	started := time.Now()
	clock := a.startClock(cancel)
	a.target.Begin()
	a.request.body.Rewind(a.request.Request)
	answer, err := a.in.send(ctx, a.request, a.choice)
	clock.stop()
	if err != nil {
		failure := a.failure(ctx, err)
		cancel(nil)
		a.target.End()
		a.learn(failure, time.Since(started))
		return nil, failure
	}
	a.observe(answer, time.Since(started)-answer.Waited)
	answer.Response.Body = hop.OnClose(answer.Response.Body, func() {
		a.target.End()
		cancel(nil)
	})
	return answer.Response, nil
}

// failure returns the attempt's failure; one that was ended for being overdue
// has a code of its own.
func (a *attempt) failure(ctx context.Context, err error) *result.Error {
	failure := result.From(err)
	if errors.Is(context.Cause(ctx), errOverdue) && failure.Code.Ran != result.RanNo {
		return result.Wrap(result.AttemptOverdue, failure)
	}
	return failure
}

// mayMoveOn says whether an overdue attempt may be given up for another. It may
// once, so that the next backend server has the rest of the time.
func (a *attempt) mayMoveOn() bool {
	return !a.request.once && a.first && a.request.attempts > 1 && !a.request.body.Spent()
}

// observe takes the head of an answer as evidence.
func (a *attempt) observe(answer sidecar.Answer, took time.Duration) {
	a.request.service.pool.Report(a.target, answer.Load, time.Now())
	if a.noWait {
		a.request.service.pool.Looked(true)
	}
	outcome, seen := detect.FromAnswer(answer.Response)
	if seen && outcome != detect.OK {
		a.target.Fail()
	}
	a.tell(detect.Observation{Outcome: outcome, Took: took, WasOverdue: a.overdue.Load()}, seen)
}

// learn takes a failure as evidence, and keeps away from a target that refuses
// for a while.
func (a *attempt) learn(failure *result.Error, took time.Duration) {
	if retry.Reached(failure.Code) {
		a.target.Fail()
	}
	outcome, seen := detect.FromResult(failure.Code)
	a.tell(detect.Observation{Outcome: outcome, Took: took, WasOverdue: a.overdue.Load()}, seen)
	pool := a.request.service.pool
	switch {
	case failure.Code.Number == result.Busy.Number:
		pool.Report(a.target, 1, time.Now())
		pool.Looked(false)
	case failure.Code.Number == result.Doubted.Number:
		pool.Doubt(a.target, time.Now().Add(a.stayAway(failure)))
	case takesNoWork(failure):
		pool.Pause(a.target, time.Now().Add(pauseFor(failure)))
	case isPathFailure(failure) && a.in.config.Ping != nil:
		a.in.reach.lost(a.target.Placement().Host)
	case failure.Code.Number == result.PeerUnreachable.Number, failure.Code.Number == result.ServerUnreachable.Number:
		pool.Pause(a.target, time.Now().Add(unreachablePause))
	}
}

// isPathFailure says whether the failure is one of the path to the host.
func isPathFailure(failure *result.Error) bool {
	return failure.Code.Number == result.PeerUnreachable.Number || failure.Code.Number == result.TicketUnanswered.Number
}

// tell gives the service's judge what the attempt saw.
func (a *attempt) tell(saw detect.Observation, seen bool) {
	if !seen && !a.trial {
		return
	}
	if a.trial && saw.Outcome == detect.Overdue {
		return // the trial's end says more
	}
	a.request.service.judge.record(observation{target: a.target, trial: a.trial, seen: seen, saw: saw})
}

// stayAway is how long to keep away from a doubted target. Those near it find out
// when it is well again, each at a time of its own; whoever was turned away is
// told then.
func (a *attempt) stayAway(failure *result.Error) time.Duration {
	if a.far() {
		return farStaysAway
	}
	return failure.RetryAfter + rand.N(failure.RetryAfter+1)
}

// far says whether the target is in another data centre.
func (a *attempt) far() bool {
	return a.target.Placement().Host.DataCentre != a.in.config.DataCentre
}

func pauseFor(failure *result.Error) time.Duration {
	if failure.RetryAfter > 0 {
		return failure.RetryAfter
	}
	return refusedPause
}
