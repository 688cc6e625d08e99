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

// errOverdue cancels an attempt after a hedge that was sent later has been answered.
var errOverdue = errors.New("a later hedge was answered first")

// attempt is one sending of a request to one backend server.
type attempt struct {
	in      *Ingress
	request *request
	attempts.Choice
	grant       retryGrant  // of the retry, if the attempt is one
	reservation string      // ID of the slot reserved at the target's sidecar; empty if there is none
	isHedge     bool        // sent in parallel with a slow attempt
	overdue     atomic.Bool // it took far longer than at other targets
	startedAt   time.Time
	cancel      context.CancelCauseFunc // cancels the attempt
}

// execute runs the attempt and ends its retry, if it is one.
func (a *attempt) execute(ctx context.Context) outcome {
	o := a.runReserved(ctx)
	reached := o.err == nil || failures.Classify(result.From(o.err).Code).Reached
	if reached {
		a.request.reached.Store(true)
	}
	a.request.service.limit.end(a.grant, reached)
	return o
}

// runReserved runs the attempt. A hedge runs only after a slot has been reserved for it.
func (a *attempt) runReserved(ctx context.Context) outcome {
	if a.isHedge {
		if err := a.reserveForHedge(ctx); err != nil {
			return outcome{attempt: a, err: err, hedgeRefused: true}
		}
	}
	response, err := a.run(ctx) //nolint:bodyclose // the receiver of the outcome closes it
	return outcome{attempt: a, response: response, err: err}
}

// reserveForHedge reserves a slot at the target for a hedge. A refusal is recorded as evidence.
func (a *attempt) reserveForHedge(ctx context.Context) error {
	reservation, err := a.reserve(ctx)
	if err != nil {
		a.learnFromFailure(result.From(err), 0)
		return err
	}
	if a.request.body.Consumed() {
		// Sent without its start, the body would fail at a healthy backend server and count against it.
		return result.New(result.CancelledBefore).WithDetail("the body was read further than it is buffered while a slot was reserved")
	}
	a.reservation = reservation
	event.Log(a.in.config.Logger, event.RequestHedged,
		"request", a.in.requestID(a.request.Request), "service", a.request.serviceName, "backend_server", a.Target.Name,
		"after_ms", time.Since(a.request.attemptRequest.StartedAt).Milliseconds())
	return nil
}

// run sends the request and returns the response once its header has arrived.
func (a *attempt) run(ctx context.Context) (*http.Response, error) {
	started := time.Now()
	timer := a.startOverdueTimer()
	a.Target.Begin()
	own := *a.request.Request // parallel hedges have their own bodies
	a.request.body.Rewind(&own)
	answer, err := a.send(ctx, &own)
	timer.stop()
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

// failure returns the failure of the attempt. An attempt that was cancelled as overdue has its own
// code, even if it was still waiting for a slot.
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

// inOtherDataCentre reports whether the target is in another data centre.
func (a *attempt) inOtherDataCentre() bool {
	return a.Target.Placement().Host.DataCentre != a.in.config.DataCentre
}
