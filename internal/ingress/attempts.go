package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/wait"
)

// tryAll tries the request at one backend server after another until one answers or the failure is
// final.
func (in *Ingress) tryAll(ctx context.Context, r *request) (*http.Response, error) {
	p := &progress{}
	for {
		choice := in.choose(ctx, r, p)
		if choice.Target == nil {
			r.service.limit.release(p.grant)
			return p.end(p.NoTargetFailure(len(r.service.pool.Targets()), p.passedOver.String()))
		}
		o := in.runRace(ctx, &attempt{in: in, request: r, Choice: choice, grant: p.grant}, p)
		if o.isAnswer() {
			p.closeAnswer()
			return o.response, nil
		}
		failure := p.record(o)
		p.settleLoan(o.attempt, failure)
		retried := p.MayRetry(time.Now(), r.attemptRequest, r.body.Consumed()) && in.checkDeadline(r.deadline) == nil && in.takeRetry(ctx, r, p)
		in.logAttempt(r, o.attempt, p, failure, retried)
		if !retried {
			return p.end(p.Failure())
		}
		in.metrics.retried.Inc(failure.Code)
	}
}

// choose returns the next backend server to try. It waits while a better choice may become
// available.
func (in *Ingress) choose(ctx context.Context, r *request, p *progress) attempts.Choice {
	choice := attempts.Choose(time.Now(), r.attemptRequest, &p.History)
	for choice.RetrySelection && wait.For(ctx, attempts.SelectionRetryDelay) {
		choice = attempts.Choose(time.Now(), r.attemptRequest, &p.History)
	}
	return choice
}

// takeRetry takes a retry from the service's limit if the next attempt is a retry, and reports
// whether the attempt may be made.
func (in *Ingress) takeRetry(ctx context.Context, r *request, p *progress) bool {
	p.grant = grantNone
	if !p.IsRetry() {
		return true
	}
	if p.useLoan(time.Now()) {
		p.grant = grantBorrowed
		return true
	}
	p.grant, p.loanUntil = r.service.limit.takeOrBorrow(ctx)
	if p.grant == grantNone {
		in.metrics.limited.Inc(p.Last.Code)
		return false
	}
	return true
}

// logAttempt logs a failed attempt. Refusals that only pass the request on to the next backend
// server are counted instead, and logged with the next failure.
func (in *Ingress) logAttempt(r *request, a *attempt, p *progress, failure *result.Error, retried bool) {
	if retried && failures.Classify(failure.Code).PassedOver() {
		p.passedOver.add(failure.Code)
		return
	}
	event.Log(in.config.Logger, event.AttemptFailed,
		"request", in.requestID(r.Request), "service", r.serviceName, "backend_server", a.Target.Name, "trial", a.Probation,
		"no_wait", a.RefuseIfBusy, "proven", a.RefuseIfHanging, "insist", a.DespiteSuspicion,
		"tried", len(p.Tried), "sent", p.Sent, "once", r.attemptRequest.NonIdempotent, "code", failure.Code.Number, "result", failure.Code.Name,
		"why", failure.Error(), "again", retried, "passed_over", p.passedOver.String())
}
