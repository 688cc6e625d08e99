package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/retryafter"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// lookAgainAfter is the pause before a request that finds only suspected backend
	// servers, or none, looks again. Source: one is trusted again within some tens
	// of milliseconds of the first proof.
	lookAgainAfter = 50 * time.Millisecond
	// maxLimited is how many sidecars are asked to run a retry before the failure is final.
	// Source: each answers for what its backend server would call; where three have no retries
	// left for that, most have none.
	maxLimited = 3
)

// attempts tries the request on one backend server after another until one
// answers or the failure is final.
func (in *Ingress) attempts(ctx context.Context, r *request) (*http.Response, error) {
	trace := attemptTrace{unchecked: in.config.Off.Has(experiment.HangChecks)}
	for {
		next, ok := in.next(ctx, r, &trace)
		if !ok {
			r.service.limit.giveBack(trace.grant)
			return trace.end(worst(trace.mayHaveRun, noneAble(r, &trace)))
		}
		next.grant = trace.grant
		f := in.runRound(ctx, &attempt{in: in, request: r, choice: next}, &trace)
		if f.isAnswer() {
			trace.drop()
			return f.response, nil
		}
		failure := trace.take(f)
		again := in.again(ctx, r, &trace)
		in.logAttempt(r, f.attempt, &trace, failure, again)
		if !again {
			return trace.end(worst(trace.mayHaveRun, trace.last))
		}
		in.metrics.retried.Inc(failure.Code)
	}
}

// next says whom to ask next. While there are only suspected backend servers, or none, it
// looks again as long as the request has time for that.
func (in *Ingress) next(ctx context.Context, r *request, trace *attemptTrace) (choice, bool) {
	for {
		c, ok := in.choose(r, trace)
		found := ok && !c.despiteSuspicion
		if found || !trace.mayFind(r) || !in.waitABit(ctx, r) {
			return c, ok
		}
	}
}

// waitABit waits before another look, if the request has time for one.
func (in *Ingress) waitABit(ctx context.Context, r *request) bool {
	return r.patience(time.Now()) > lookAgainAfter && wait.For(ctx, lookAgainAfter)
}

// mayImprove says whether another backend server may give a better answer than
// this failure, which has been read whole.
func mayImprove(r *request, response *http.Response) bool {
	return !r.nonIdempotent && response.StatusCode >= http.StatusInternalServerError && response.ContentLength >= 0
}

// logAttempt leaves a line on a failed attempt, unless it only sends the request on.
func (in *Ingress) logAttempt(r *request, a *attempt, trace *attemptTrace, failure *result.Error, again bool) {
	if again && failures.Of(failure.Code).PassedOver() {
		trace.passedOver.add(failure.Code)
		return
	}
	event.Log(in.config.Logger, event.AttemptFailed,
		"request", in.requestID(r.Request), "service", r.name, "backend_server", a.target.Name, "trial", a.probation,
		"no_wait", a.refuseIfBusy, "proven", a.refuseIfHanging, "insist", a.despiteSuspicion,
		"tried", len(trace.tried), "sent", trace.sent, "once", r.nonIdempotent, "code", failure.Code.Number, "result", failure.Code.Name,
		"why", failure.Error(), "again", again, "passed_over", trace.passedOver.String())
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

// again says whether the last failed attempt may be followed by another, and takes a retry for it if
// that is one.
func (in *Ingress) again(ctx context.Context, r *request, trace *attemptTrace) bool {
	if r.body.Spent() {
		return false
	}
	if failures.Of(trace.last.Code).Target == failures.QueueFull && time.Now().After(r.targetAt) {
		return false // the others are as full, and it has waited for its time
	}
	decision := retry.Decide(retry.Attempt{Sent: trace.sent, Most: r.attempts, Full: trace.full, NonIdempotent: r.nonIdempotent, Subrequest: r.subrequest, Err: trace.last})
	switch decision {
	case retry.Free:
		return in.takeRetry(ctx, r, trace)
	case retry.Again:
		return trace.limited < maxLimited && in.takeRetry(ctx, r, trace)
	case retry.Final:
	}
	return false
}

// takeRetry takes a retry for the next attempt, if that would be one, and says false if the service's
// limit leaves none.
func (in *Ingress) takeRetry(ctx context.Context, r *request, trace *attemptTrace) bool {
	trace.grant = grantNone
	if trace.sent == 0 {
		return true
	}
	trace.grant = r.service.limit.takeAny(ctx)
	if trace.grant == grantNone {
		in.metrics.limited.Inc(trace.last.Code)
		return false
	}
	return true
}

// noneAble is the answer when no target is left to try: the last failure, unless there
// was none or the last one asked gets no work.
func noneAble(r *request, trace *attemptTrace) *result.Error {
	if trace.last == nil || failures.Of(trace.last.Code).TakesNoWork() {
		return result.New(result.NoneAble).WithRetryAfter(retryafter.NoneAble).
			WithDetail("%d backend servers known, %d tried (%s)", len(r.service.pool.Targets()), len(trace.tried), trace.passedOver)
	}
	return trace.last
}
