package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

// ServeHTTP serves one caller's request.
func (in *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in.inFlight.Add(1)
	defer in.inFlight.Add(-1)
	started := time.Now()
	in.metrics.requests.Inc(1)
	defer func() { in.metrics.seconds.RecordDuration(time.Since(started)) }()

	request, err := in.admit(w, r, started)
	if err != nil {
		in.fail(w, r, started, err)
		return
	}
	defer in.endRetry(request)
	defer request.body.Finish()
	if err := request.body.Prepare(request.deadline); err != nil {
		in.giveBack(request)
		in.fail(w, r, started, bodyFailure(err))
		return
	}
	ctx, answered, cancel := in.untilAnswered(r.Context(), request.deadline)
	defer cancel()
	response, err := in.tryAll(ctx, request)
	answered()
	if err != nil {
		failure := lastAnswer(ctx, err)
		if failure.Code.Ran == result.RanNo {
			in.giveBack(request)
		}
		in.reportFailed(request, failure)
		in.fail(w, r, started, failure)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if err := hop.WriteAnswer(w, response); err != nil {
		in.metrics.refused.Inc(result.AnswerCut)
		panic(http.ErrAbortHandler) // closes the connection, so that the answer does not look whole
	}
}

// errStopped ends what callers still wait for at the end of a planned stop.
var errStopped = errors.New("the daemon stops")

// untilAnswered returns the context in which a request is served, which ends at its
// deadline, or, until answered is called, when the daemon has to answer all.
func (in *Ingress) untilAnswered(ctx context.Context, deadline time.Time) (_ context.Context, answered, end func()) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	ctx, stop := context.WithCancelCause(ctx)
	detach := context.AfterFunc(in.answering, func() { stop(errStopped) })
	return ctx, func() { detach() }, func() {
		detach()
		stop(nil)
		cancel()
	}
}

// lastAnswer returns the failure of a request, or what is told in its place if a planned
// stop has ended it.
func lastAnswer(ctx context.Context, err error) *result.Error {
	failure := result.From(err)
	if !errors.Is(context.Cause(ctx), errStopped) {
		return failure
	}
	if failure.Code.Ran != result.RanNo {
		return result.Wrap(result.StoppedWhileRunning, failure)
	}
	return result.Wrap(result.Stopping, err).WithRetryAfter(retryafter.Unspecified)
}
