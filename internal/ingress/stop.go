package ingress

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

// InFlight returns how many callers' requests are being served.
func (in *Ingress) InFlight() int64 { return in.inFlight.Load() }

// BeginShutdown records that a planned stop has begun: what is in flight stays where it is, without
// hedges, since another backend server may not take it any more.
func (in *Ingress) BeginShutdown() { in.settling.Store(true) }

// Stop refuses new requests from now on.
func (in *Ingress) Stop() { in.stopping.Store(true) }

// AnswerAll answers at once what callers still wait for: that it was not run, where that
// is so, and else that nothing more is known of it.
func (in *Ingress) AnswerAll() {
	in.Stop()
	in.answerAll()
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
