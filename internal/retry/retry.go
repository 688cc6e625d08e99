// Package retry decides whether a failed attempt may be tried again, and keeps the retries of a
// whole service within its limit.
//
// The limit is on what all daemons together do to a service: in any window of time its backend
// servers get at most a share of its requests, and a slack, as retries. A retry is a request that is
// sent to a backend server once more, and each call of a run that was a retry itself. Nobody counts
// the sum. A Budgets is what one daemon answers for: the requests that begin on its host, and what
// the backend servers of its host call. It takes a retry only from what those requests earned, so
// that the sum holds whatever else happens: no daemon needs to know how many there are, one
// that starts again has earned nothing yet, and one that is cut off earns no more than before.
//
// Whether an attempt may be tried again is in retry.go, a host's budgets in budgets.go, one of them in
// budget.go, and what it counts over time in window.go.
//
// # Usage
//
//	budgets := retry.NewBudgets(retry.Config{Began: now})
//	budgets.Resize(now, map[string]retry.Size{"lookup": {Share: 0.2, Slack: 56, Window: 10 * time.Second, Hosts: 21}})
//	budgets.Request(now, "lookup") // for each request that begins here
//	switch retry.Decide(retry.Attempt{Sent: 1, Most: 2, NonIdempotent: true, Err: refusal}) {
//	case retry.Again:
//		if budgets.Take(now, "lookup") {
//			// send it
//			budgets.End(now, "lookup", reached)
//		}
//	}
//	...
//	if budgets.Begin(now, run, nil) { // the backend server of the host is sent a request
//		defer budgets.Finish(now, run)
//	}
//	budgets.Call(now, run, "records") // the run calls another service
//
// # Rules
//
//   - A refusal by a sidecar cost the backend servers nothing, so another may be
//     asked without drawing on the limit; a few times if queues are full, as
//     long as there is one if the refusing one takes no work at all or a backend server
//     needs the answer.
//   - What reached a backend server is tried elsewhere within the route's
//     attempts and the limit, and only if it did not run or may run twice.
//   - What another backend server would not change is final: the customer's own
//     limits, the deadline, a caller that went away, a malformed request.
//   - A request earns most of its share of a retry in the window in which it is sent, and a quarter in
//     the next one. Each daemon's retries of any window are paid in this way from its requests of that
//     window and the one before, so all daemons' together are too: at most the share of the better of
//     both.
//   - Three quarters of the slack are shared by the hosts that the platform's store listed. Each uses its
//     part once nobody can have used it within a window, and while the store has its record.
//   - A host that has no retry left may borrow one, which counts at the lender.
//   - A retry runs only where there is room for the calls that it may make, by what runs of its
//     service called in the last minutes. Calls beyond that are made, and paid back.
//
// The bound does not cover calls whose id does not tell of the run that made them, nor a fleet of
// which more than a quarter has not been heard of by the rest. A retry that waits for a slot for more
// than a thirteenth of the window may count in a later one.
package retry

import (
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
)

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
	// NonIdempotent says that the request must not run more than once.
	NonIdempotent bool
	// Subrequest says that a backend server sent it for a request that it is running, so that it
	// is worth more queues.
	Subrequest bool
	// Err is how it failed.
	Err *result.Error
}

// Decide says whether the attempt may be tried again on another backend server.
func Decide(a Attempt) Decision {
	meaning := failures.Of(a.Err.Code)
	switch {
	case meaning.Final:
		return Final
	case meaning.Target == failures.QueueFull:
		if a.Full >= MaxQueues && !a.Subrequest {
			return Final
		}
		return Free
	case !meaning.Reached:
		return Free
	case a.Sent >= a.Most:
		return Final
	case a.Err.Code.Ran == result.RanNo || !a.NonIdempotent:
		return Again
	default:
		return Final
	}
}
