package ingress

import (
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

// fail answers the request with the failure and logs it. A refusal that may be worth repeating
// always has a Retry-After.
func (in *Ingress) fail(w http.ResponseWriter, r *http.Request, started time.Time, err error) {
	e := result.From(err)
	if failures.Classify(e.Code).NeedsRetryAfter && e.RetryAfter == 0 {
		e = e.WithRetryAfter(retryafter.Unspecified)
	}
	in.metrics.refused.Inc(e.Code)
	event.Log(in.config.Logger, event.RequestFailed,
		"request", in.requestID(r), "code", e.Code.Number, "result", e.Code.Name, "host", r.Host, "path", r.URL.Path,
		"took_ms", time.Since(started).Milliseconds(), "retry_after_ms", e.RetryAfter.Milliseconds(), "why", e.Error())
	if e.Code.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if in.callers().RetryAfter == fleet.RetryAfterDecimals {
		result.WriteDecimals(w, e)
		return
	}
	result.Write(w, e)
}

// bodyFailure returns the failure of a request whose body could not be read. No part of the request
// was sent.
func bodyFailure(err error) *result.Error {
	if errors.Is(err, body.ErrTooLong) {
		return result.Wrap(result.BodyTooLarge, err)
	}
	if errors.Is(err, body.ErrNoRoom) {
		return result.Wrap(result.BodyMemory, err).WithRetryAfter(retryafter.BodyMemory)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.Wrap(result.DeadlineBeforeRun, err)
	}
	return result.Wrap(result.CancelledBefore, err)
}
