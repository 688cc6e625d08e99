package attempts

import (
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

const (
	// MaxQueues is how many backend servers with a full queue are asked. Source: of two drawn
	// at random the less loaded one is asked first, so that after three the service is full.
	MaxQueues = 3
	// maxNoRetries is how many sidecars are asked to run a retry before the failure is final.
	// Source: each answers for what its backend server would call; where three have no retries
	// left for that, most have none.
	maxNoRetries = 3
)

// MayRetry reports whether the request may be sent to another backend server after the last
// failure. bodySpent says that its body cannot be sent again from its start.
func (h *History) MayRetry(now time.Time, t Request, bodySpent bool) bool {
	meaning := failures.Classify(h.Last.Code)
	switch {
	case bodySpent || meaning.Final:
		return false
	case meaning.Target == failures.QueueFull && now.After(t.TargetAt):
		return false // the others are as full, and it has waited for its time
	case meaning.Target == failures.QueueFull:
		return h.FullQueues < MaxQueues || t.Subrequest
	case !meaning.Reached:
		return true // the refusal cost no backend server anything
	case h.Sent >= t.MaxSent || h.RetryRefusals >= maxNoRetries:
		return false
	default:
		return h.Last.Code.Ran == result.RanNo || !t.NonIdempotent
	}
}

// IsRetry reports whether the next attempt is a retry, which the service's retry limit has to allow.
func (h *History) IsRetry() bool { return h.Sent > 0 }

// MayImprove reports whether another backend server may give a better answer than this one,
// which is kept until then: a failure that was read whole.
func (t Request) MayImprove(answer *http.Response) bool {
	return !t.NonIdempotent && answer.StatusCode >= http.StatusInternalServerError && answer.ContentLength >= 0
}

// Failure is what the caller is told after the last failure.
func (h *History) Failure() *result.Error { return h.worstOf(h.Last) }

// NoTargetFailure is what the caller is told if no backend server is left to ask, of so many that are
// known: the last failure, unless there was none or the last one asked takes no work.
// passedOver says for which reasons some were passed over.
func (h *History) NoTargetFailure(known int, passedOver string) *result.Error {
	if h.Last == nil || failures.Classify(h.Last.Code).TakesNoWork() {
		return h.worstOf(result.New(result.NoneAble).WithRetryAfter(retryafter.NoneAble).
			WithDetail("%d backend servers known, %d tried (%s)", known, len(h.Tried), passedOver))
	}
	return h.Failure()
}

// worstOf returns the failure to tell the caller: "not run" is true only if it is true of every
// attempt, so one after which the request may have run goes first. When to come back is what the
// last one said.
func (h *History) worstOf(last *result.Error) *result.Error {
	if h.MayHaveRun == nil || last.Code.Ran == result.RanUnknown {
		return last
	}
	return h.MayHaveRun.WithRetryAfter(last.RetryAfter)
}
