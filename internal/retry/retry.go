// Package retry decides whether a failed attempt may be tried again.
//
// Only the ingress retries, and the sidecar that keeps a slot for a retry says whether there
// is one left. A Budget is the aggregate of one backend server: with each retry, those of the
// window that ends there are at most a share of the requests that came there in that window,
// and its part of the service's slack more, so that all backend servers together stay within
// the service's limit without a call. There are fewer of them than of daemons that send, so
// that each part is larger and seldom spent while others are left.
//
// Whether an attempt may be tried again is in retry.go, the budget in budget.go, and
// what the budget counts over time in window.go.
//
// # Usage
//
//	budget := retry.NewBudget()
//	budget.Resize(retry.Size{Share: 0.2, Slack: 56, Window: 10 * time.Second, Parts: 15})
//	budget.Earn(now)               // for each request
//	if budget.Left(now) { ... }    // a retry may be spent on a failure
//	switch retry.Decide(retry.Attempt{Sent: 1, Most: 2, Once: true, Err: refusal}) {
//	case retry.Again:
//		ok := budget.Spend(now) // at the sidecar
//	}
//
// # Rules
//
//   - A refusal by a sidecar cost the backend servers nothing, so another may be
//     asked without drawing on the budget; a few times if queues are full, as
//     long as there is one if the refusing one takes no work at all or a backend server
//     needs the answer.
//   - What reached a backend server is tried elsewhere within the route's
//     attempts and the budget, and only if it did not run or may run twice.
//   - What another backend server would not change is final: the customer's own
//     limits, the deadline, a caller that went away, a malformed request.
package retry

import "github.com/tideliftd/tidelift/internal/result"

// MaxQueues is how many backend servers with a full queue are asked. Source: of two
// drawn at random the less loaded one is asked first, so that after three the service
// is full.
const MaxQueues = 3

// Decision says what to do after a failed attempt.
type Decision string

// The decisions.
const (
	// Again means that another attempt is allowed if the budget has one.
	Again Decision = "again"
	// Free means that another attempt is allowed and costs nothing.
	Free Decision = "free"
	// Final means that the failure is the answer.
	Final Decision = "final"
)

// Attempt is a failed attempt.
type Attempt struct {
	// Sent counts the attempts that reached a backend server, this one included.
	Sent int
	// Most is the route's limit on them.
	Most int
	// Full counts the refusals for a full queue, this one included.
	Full int
	// Once says that the request must not run more than once.
	Once bool
	// Subrequest says that a backend server sent it for a request that it is running, so that it
	// is worth more queues.
	Subrequest bool
	// Err is how it failed.
	Err *result.Error
}

// Decide says whether the attempt may be tried again on another backend server.
func Decide(a Attempt) Decision {
	switch {
	case isFinal(a.Err.Code):
		return Final
	case IsFull(a.Err.Code):
		if a.Full >= MaxQueues && !a.Subrequest {
			return Final
		}
		return Free
	case !Reached(a.Err.Code):
		return Free
	case a.Sent >= a.Most:
		return Final
	case a.Err.Code.Ran == result.RanNo || !a.Once:
		return Again
	default:
		return Final
	}
}

// isFinal says whether the failure is the answer, whoever else might be asked.
func isFinal(code result.Code) bool {
	switch code.Number {
	case result.CustomerShare.Number, result.PlaceLost.Number, result.DeadlineBeforeRun.Number, result.CancelledBefore.Number,
		result.DeadlineWhileRunning.Number, result.CallerGone.Number, result.MalformedRequest.Number:
		return true
	}
	return false
}

// IsFull says whether a sidecar refused for want of a slot in time.
func IsFull(code result.Code) bool {
	return code.Number == result.QueueFull.Number || code.Number == result.QueueTooSlow.Number
}

// Reached says whether the request reached the backend server, be it that it
// did not run it.
func Reached(code result.Code) bool {
	switch code.Number {
	case result.NotTaken.Number, result.Misdirected.Number:
		return true
	}
	return code.Ran == result.RanUnknown
}
