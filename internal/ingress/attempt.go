package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// errOverdue ends an attempt that takes far longer than others would.
var errOverdue = errors.New("attempt is overdue")

// attempt is one sending of a request to one backend server.
type attempt struct {
	in      *Ingress
	request *request
	choice
	first   bool              // no attempt before it reached a backend server
	overdue atomic.Bool       // it took far longer than others would
	avoid   []*balance.Target // whom not to ask in its place
	// reserveLooks counts the looks for another backend server, and reserved is the one
	// that keeps a slot for the request. The attempt's clock writes both; reserved is
	// read once the clock has stopped.
	reserveLooks int
	reserved     *choice
}

// run sends the request and returns the head of the answer.
func (a *attempt) run(ctx context.Context) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	started := time.Now()
	clock := a.startClock(ctx, cancel)
	a.target.Begin()
	a.request.body.Rewind(a.request.Request)
	answer, err := a.in.send(ctx, a.request, a.choice)
	clock.stop()
	if err == nil && a.reserved != nil && !hop.IsHeld(answer.Response) {
		_ = answer.Response.Body.Close() // what has not been read of it is lost with the connection
		err = errOverdue
	}
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

// mayMoveOn says whether an overdue attempt may be given up for another. Once an
// attempt has reached a backend server, no later one may, so that the next backend
// server has the rest of the time.
func (a *attempt) mayMoveOn() bool {
	return !a.in.settling.Load() && !a.request.once && a.first && a.request.attempts > 1 && !a.request.body.Spent()
}

// far says whether the target is in another data centre.
func (a *attempt) far() bool {
	return a.target.Placement().Host.DataCentre != a.in.config.DataCentre
}
