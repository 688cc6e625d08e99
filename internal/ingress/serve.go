package ingress

import (
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// ServeHTTP serves a caller's request.
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
	if err := in.prepare(request); err != nil {
		in.refundCustomer(request)
		in.fail(w, r, started, err)
		return
	}
	ctx, answered, cancel := in.requestContext(r.Context(), request.deadline)
	defer cancel()
	response, err := in.tryAll(ctx, request)
	answered()
	request.body.AnnounceClose(w.Header())
	if err != nil {
		failure := finalFailure(ctx, err)
		if failure.Code.Ran == result.RanNo {
			in.refundCustomer(request)
		}
		in.reportFailed(request, failure)
		in.fail(w, r, started, failure)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if err := hop.WriteAnswer(w, response); err != nil {
		in.metrics.refused.Inc(result.AnswerCut)
		panic(http.ErrAbortHandler) // closes the connection, so that the caller detects the truncated answer
	}
}

// prepare reads the request's body as far as it is buffered, and checks whether a planned stop has begun by then.
func (in *Ingress) prepare(r *request) *result.Error {
	if err := r.body.Prepare(r.deadline); err != nil {
		return bodyFailure(err)
	}
	return in.checkDeadline(r.deadline)
}
