package attempts

import (
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

const (
	// MaxFullQueues is the number of refusals because of a full queue after which the service is
	// considered full. The less loaded of two backend servers drawn at random is tried first, so
	// that after three the others are unlikely to have room.
	MaxFullQueues = 3
	// minLimitRefusals is the number of refusals because of limits that backend servers name before the search for
	// one with room may end. In a large service that names limits everywhere, a request would ask hundreds.
	minLimitRefusals = 4
	// maxRetryRefusals is the number of refusals for lack of retry budget after which the failure
	// is final: if three hosts have no budget left for the calls, most have none. For requests that are not
	// long it is in force only if the last attempt reached a backend server.
	maxRetryRefusals = 3
)

// MayRetry reports whether the request may be sent to another backend server after the last
// failure. bodyConsumed is set if its body cannot be sent again from its start.
func (h *History) MayRetry(now time.Time, r Request, bodyConsumed bool) bool {
	class := failures.Classify(h.Last.Code)
	switch {
	case bodyConsumed || class.Final:
		return false
	case r.Long && h.RetryRefusals >= maxRetryRefusals:
		return false // whatever the last backend server lacked
	case class.Target == failures.QueueFull && now.After(r.LatencyTargetAt):
		return false // the other queues are as full, and the latency target has passed
	case class.Target == failures.QueueFull:
		return h.FullQueues < MaxFullQueues || r.Subrequest
	case class.Target == failures.Limited:
		return h.LimitRefusals < minLimitRefusals || r.hasTimeToReselect(now)
	case !class.Reached:
		return true // the refusal cost the backend servers nothing
	case h.Sent >= r.MaxSent || h.RetryRefusals >= maxRetryRefusals:
		return false
	default:
		return h.Last.Code.Ran == result.RanNo || !r.NonIdempotent
	}
}

// IsRetry reports whether the next attempt is a retry, which the service's retry limit must allow.
func (h *History) IsRetry() bool { return h.Sent > 0 }

// MayImprove reports whether another backend server may give a better answer than this one: a
// server error with a known length, which is kept until the other one answers.
func (r Request) MayImprove(answer *http.Response) bool {
	return !r.NonIdempotent && answer.StatusCode >= http.StatusInternalServerError && answer.ContentLength >= 0
}

// Failure returns the error for the caller after the last failure.
func (h *History) Failure() *result.Error { return h.worstOf(h.Last) }

// NoTargetFailure returns the error for the caller if none of the known backend servers is left:
// the last failure, unless there was none or the last backend server accepts no requests.
// passedOver lists why backend servers were passed over.
func (h *History) NoTargetFailure(known int, passedOver string) *result.Error {
	if h.Last == nil || failures.Classify(h.Last.Code).Unavailable() {
		return h.worstOf(result.New(result.NoneAble).WithRetryAfter(retryafter.NoneAble).
			WithDetail("%d backend servers known, %d tried (%s)", known, len(h.Tried), passedOver))
	}
	return h.Failure()
}

// worstOf returns the failure to report to the caller. "Not run" must hold for every attempt, so a
// failure after which the request may have run takes precedence. The retry delay is always that of
// the last failure.
func (h *History) worstOf(last *result.Error) *result.Error {
	if h.MayHaveRun == nil || last.Code.Ran == result.RanUnknown {
		return last
	}
	return h.MayHaveRun.WithRetryAfter(last.RetryAfter)
}
