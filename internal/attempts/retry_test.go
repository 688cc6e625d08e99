package attempts_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/result"
)

func TestDecide(t *testing.T) {
	const (
		final = "final"
		free  = "free"    // another may be asked, which draws on no limit
		again = "a retry" // another may be asked if the limit leaves a retry
	)
	began := time.Now()
	target := began.Add(time.Second)
	inTime, tooLate := began, target.Add(1)
	once := attempts.Request{NonIdempotent: true, MaxSent: 2, TargetAt: target}
	twice := attempts.Request{MaxSent: 2, TargetAt: target}
	call := attempts.Request{MaxSent: 2, TargetAt: target, Subrequest: true}
	tests := []struct {
		name    string
		terms   attempts.Request
		history attempts.History
		at      time.Time
		want    string
	}{
		{"not sent", once, attempts.History{Last: result.New(result.ServerUnreachable)}, inTime, free},
		{"not sent, after the last attempt", twice, attempts.History{Sent: 2, Last: result.New(result.Ejected)}, inTime, again},
		{"unknown, repeatable", twice, attempts.History{Sent: 1, Last: result.New(result.ConnectionLost)}, inTime, again},
		{"unknown, not repeatable", once, attempts.History{Sent: 1, Last: result.New(result.ConnectionLost)}, inTime, final},
		{"no reservation", once, attempts.History{Last: result.New(result.ReservationUnanswered)}, inTime, free},
		{"the last attempt", twice, attempts.History{Sent: 2, Last: result.New(result.ConnectionLost)}, inTime, final},
		{"not taken", once, attempts.History{Sent: 1, Last: result.New(result.NotTaken)}, inTime, again},
		{"not taken, the last attempt", twice, attempts.History{Sent: 2, Last: result.New(result.NotTaken)}, inTime, final},
		{"a full queue, once", twice, attempts.History{FullQueues: 1, Last: result.New(result.QueueFull)}, inTime, free},
		{"a full queue, too often", twice, attempts.History{FullQueues: attempts.MaxQueues, Last: result.New(result.QueueFull)}, inTime, final},
		{"a full queue, as often, for a call", call, attempts.History{FullQueues: attempts.MaxQueues, Last: result.New(result.QueueFull)}, inTime, free},
		{"a full queue, past the target", call, attempts.History{FullQueues: 1, Last: result.New(result.QueueTooSlow)}, tooLate, final},
		{"no slot, past the target", twice, attempts.History{Last: result.New(result.Busy)}, tooLate, free},
		{"a customer's share", twice, attempts.History{Last: result.New(result.CustomerShare)}, inTime, final},
		{"the deadline", twice, attempts.History{Sent: 1, Last: result.New(result.DeadlineWhileRunning)}, inTime, final},
		{"two had no retries", twice, attempts.History{Sent: 1, RetryRefusals: 2, Last: result.New(result.ConnectionLost)}, inTime, again},
		{"three had no retries", twice, attempts.History{Sent: 1, RetryRefusals: 3, Last: result.New(result.ConnectionLost)}, inTime, final},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := final
			switch {
			case !test.history.MayRetry(test.at, test.terms, false):
			case test.history.IsRetry():
				got = again
			default:
				got = free
			}
			if got != test.want {
				t.Fatalf("got %s, want %s", got, test.want)
			}
			if test.history.MayRetry(test.at, test.terms, true) {
				t.Fatal("a request whose body is spent is tried again")
			}
		})
	}
}

// TestOnceIsNeverTriedAgainAfterItMayHaveRun goes through every code.
func TestOnceIsNeverTriedAgainAfterItMayHaveRun(t *testing.T) {
	terms := attempts.Request{MaxSent: 9, NonIdempotent: true}
	for _, code := range result.All() {
		history := attempts.History{Sent: 1, Last: result.New(code)}
		if code.Ran == result.RanUnknown && history.MayRetry(time.Time{}, terms, false) {
			t.Errorf("%s would be tried again", code.Name)
		}
	}
}

// TestTheCallerHearsTheWorst: "not run" is told only if it is true of every attempt.
func TestTheCallerHearsTheWorst(t *testing.T) {
	lost, busy, draining := result.New(result.ConnectionLost), result.New(result.Busy).WithRetryAfter(time.Minute), result.New(result.Draining)
	record := func(failures ...*result.Error) *attempts.History {
		h := &attempts.History{}
		for _, failure := range failures {
			h.Record(nil, failure, false)
		}
		return h
	}
	for name, test := range map[string]struct {
		told  *result.Error
		want  result.Code
		after time.Duration
	}{
		"the last":                       {record(draining, busy).Failure(), result.Busy, time.Minute},
		"one may have run":               {record(lost, busy).Failure(), result.ConnectionLost, time.Minute},
		"one had no room for a retry":    {record(lost, result.New(result.RetryLimit)).Failure(), result.ConnectionLost, 0},
		"all had no room for a retry":    {record(result.New(result.RetryLimit)).Failure(), result.RetryLimit, 0},
		"nobody was asked":               {record().NoTargetFailure(0, ""), result.NoneAble, time.Second},
		"nobody takes work":              {record(busy, draining).NoTargetFailure(2, ""), result.NoneAble, time.Second},
		"nobody is left":                 {record(draining, busy).NoTargetFailure(2, ""), result.Busy, time.Minute},
		"nobody takes work, one has run": {record(lost, draining).NoTargetFailure(2, ""), result.ConnectionLost, time.Second},
	} {
		if test.told.Code.Number != test.want.Number || test.told.RetryAfter != test.after {
			t.Errorf("%s: got %s, come back after %v", name, test.told.Code.Name, test.told.RetryAfter)
		}
	}
}
