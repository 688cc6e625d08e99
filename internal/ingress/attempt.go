package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// errOverdue ends an attempt that a hedge sent later has overtaken.
var errOverdue = errors.New("a later hedge was answered first")

// attempt is one sending of a request to one backend server.
type attempt struct {
	in      *Ingress
	request *request
	attempts.Choice
	grant       retryGrant  // of the retry that it is
	reservation string      // leave of the target's sidecar to run the request; empty if there is none
	isHedge     bool        // it is a hedge beside a slow attempt
	overdue     atomic.Bool // it took far longer than others would
	startedAt   time.Time
	cancel      context.CancelCauseFunc // ends it
}

// finish runs the attempt. One that retries the request has taken a retry, which ends here.
func (a *attempt) finish(ctx context.Context) outcome {
	o := a.runReserved(ctx)
	reached := o.err == nil || failures.Classify(result.From(o.err).Code).Reached
	if reached {
		a.request.reached.Store(true)
	}
	a.request.service.limit.end(a.grant, reached)
	return o
}

// runReserved runs the attempt, a hedge only once a slot is kept for it.
func (a *attempt) runReserved(ctx context.Context) outcome {
	if a.isHedge {
		if err := a.reserveSlot(ctx); err != nil {
			return outcome{attempt: a, err: err, hedgeRefused: true}
		}
	}
	response, err := a.run(ctx) //nolint:bodyclose // whoever handles the outcome closes it
	return outcome{attempt: a, response: response, err: err}
}

// reserveSlot has the target keep a slot for the hedge. A refusal is evidence.
func (a *attempt) reserveSlot(ctx context.Context) error {
	reservation, err := a.reserve(ctx)
	if err != nil {
		a.learnFromFailure(result.From(err), 0)
		return err
	}
	a.reservation = reservation
	event.Log(a.in.config.Logger, event.RequestHedged,
		"request", a.in.requestID(a.request.Request), "service", a.request.serviceName, "backend_server", a.Target.Name,
		"after_ms", time.Since(a.request.terms.StartedAt).Milliseconds())
	return nil
}

// run sends the request and returns the head of the answer.
func (a *attempt) run(ctx context.Context) (*http.Response, error) {
	started := time.Now()
	clock := a.startClock()
	a.Target.Begin()
	own := *a.request.Request // a hedge beside it has a body of its own
	a.request.body.Rewind(&own)
	answer, err := a.send(ctx, &own)
	clock.stop()
	if err != nil {
		failure := a.failure(ctx, err)
		a.cancel(nil)
		a.Target.End()
		a.learnFromFailure(failure, time.Since(started))
		return nil, failure
	}
	a.learnFromAnswer(answer, time.Since(started)-answer.Waited)
	answer.Response.Body = hop.OnClose(answer.Response.Body, func() {
		a.Target.End()
		a.cancel(nil)
	})
	return answer.Response, nil
}

// failure returns the attempt's failure; one that was ended for being overdue
// has a code of its own, also if it still waited for a slot.
func (a *attempt) failure(ctx context.Context, err error) *result.Error {
	failure := result.From(err)
	switch {
	case !errors.Is(context.Cause(ctx), errOverdue):
		return failure
	case failure.Code.Ran == result.RanNo:
		return result.Wrap(result.MovedOn, failure)
	default:
		return result.Wrap(result.AttemptOverdue, failure)
	}
}

// far reports whether the target is in another data centre.
func (a *attempt) far() bool {
	return a.Target.Placement().Host.DataCentre != a.in.config.DataCentre
}
