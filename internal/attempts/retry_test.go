package attempts_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
)

func TestMayRetry(t *testing.T) {
	const (
		final = "final"
		free  = "free"    // another backend server may be queried without using a retry
		again = "a retry" // another backend server may be queried if the limit leaves a retry
	)
	began := time.Now()
	target := began.Add(time.Second)
	inTime, tooLate := began, target.Add(1)
	nonIdempotent := attempts.Request{NonIdempotent: true, MaxSent: 2, LatencyTargetAt: target}
	idempotent := attempts.Request{MaxSent: 2, LatencyTargetAt: target}
	subrequest := attempts.Request{MaxSent: 2, LatencyTargetAt: target, Subrequest: true}
	long := attempts.Request{MaxSent: 2, LatencyTargetAt: target, Long: true}
	tests := []struct {
		name    string
		request attempts.Request
		history attempts.History
		at      time.Time
		want    string
	}{
		{"not sent", nonIdempotent, attempts.History{Last: result.New(result.ServerUnreachable)}, inTime, free},
		{"not sent, after the last attempt", idempotent, attempts.History{Sent: 2, Last: result.New(result.Ejected)}, inTime, again},
		{"may have run, idempotent", idempotent, attempts.History{Sent: 1, Last: result.New(result.ConnectionLost)}, inTime, again},
		{"may have run, not idempotent", nonIdempotent, attempts.History{Sent: 1, Last: result.New(result.ConnectionLost)}, inTime, final},
		{"no reservation", nonIdempotent, attempts.History{Last: result.New(result.ReservationUnanswered)}, inTime, free},
		{"the last attempt", idempotent, attempts.History{Sent: 2, Last: result.New(result.ConnectionLost)}, inTime, final},
		{"not accepted", nonIdempotent, attempts.History{Sent: 1, Last: result.New(result.NotTaken)}, inTime, again},
		{"not accepted, the last attempt", idempotent, attempts.History{Sent: 2, Last: result.New(result.NotTaken)}, inTime, final},
		{"a full queue, once", idempotent, attempts.History{FullQueues: 1, Last: result.New(result.QueueFull)}, inTime, free},
		{"a full queue, too often", idempotent, attempts.History{FullQueues: attempts.MaxFullQueues, Last: result.New(result.QueueFull)}, inTime, final},
		{"a full queue, as often, for a subrequest", subrequest, attempts.History{FullQueues: attempts.MaxFullQueues, Last: result.New(result.QueueFull)}, inTime, free},
		{"a full queue, past the latency target", subrequest, attempts.History{FullQueues: 1, Last: result.New(result.QueueTooSlow)}, tooLate, final},
		{"no slot, past the latency target", idempotent, attempts.History{Last: result.New(result.Busy)}, tooLate, free},
		{"a customer's share", idempotent, attempts.History{Last: result.New(result.CustomerShare)}, inTime, final},
		{"the deadline", idempotent, attempts.History{Sent: 1, Last: result.New(result.DeadlineWhileRunning)}, inTime, final},
		{"two had no retry budget", idempotent, attempts.History{Sent: 1, RetryRefusals: 2, Last: result.New(result.ConnectionLost)}, inTime, again},
		{"three had no retry budget", idempotent, attempts.History{Sent: 1, RetryRefusals: 3, Last: result.New(result.ConnectionLost)}, inTime, final},
		{"three had no retry budget, then one no slot", idempotent, attempts.History{Sent: 1, RetryRefusals: 3, Last: result.New(result.Busy)}, inTime, again},
		{"two had no retry budget, long", long, attempts.History{Sent: 1, RetryRefusals: 2, Last: result.New(result.Busy)}, inTime, again},
		{"three had no retry budget, long", long, attempts.History{Sent: 1, RetryRefusals: 3, Last: result.New(result.ConnectionLost)}, inTime, final},
		{"three had no retry budget, one no slot, long", long, attempts.History{Sent: 1, RetryRefusals: 3, Last: result.New(result.Busy)}, inTime, final},
		{"the first had no slot, long", long, attempts.History{Last: result.New(result.Busy)}, inTime, free},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := final
			switch {
			case !test.history.MayRetry(test.at, test.request, false):
			case test.history.IsRetry():
				got = again
			default:
				got = free
			}
			if got != test.want {
				t.Fatalf("got %s, want %s", got, test.want)
			}
			if test.history.MayRetry(test.at, test.request, true) {
				t.Fatal("request whose body was consumed is retried")
			}
		})
	}
}

// TestRetryRefusalsEndLongRequestsOnly guards against a long request that queries further backend servers after three had
// no retries for its calls, and against any other request that ends earlier than without the rules for long requests.
func TestRetryRefusalsEndLongRequestsOnly(t *testing.T) {
	now := time.Now()
	for _, code := range result.All() {
		request := attempts.Request{MaxSent: 2, StartedAt: now, LatencyTargetAt: now.Add(time.Second)}
		long := request
		long.Long = true
		may := func(r attempts.Request, refusals int) bool {
			h := attempts.History{Sent: 1, RetryRefusals: refusals, Last: result.New(code)}
			return h.MayRetry(now, r, false)
		}
		without := may(request, 0)
		for refusals := range 9 {
			if got := may(long, refusals); got != (without && refusals < 3) {
				t.Errorf("%s, long, after %d refusals: retried %t", code.Name, refusals, got)
			}
			if got := may(request, refusals); got != (without && (refusals < 3 || !failures.Classify(code).Reached)) {
				t.Errorf("%s after %d refusals: retried %t", code.Name, refusals, got)
			}
		}
	}
}

// TestNonIdempotentIsNotRetriedAfterItMayHaveRun guards against a result code after which a request
// that must not run twice is retried.
func TestNonIdempotentIsNotRetriedAfterItMayHaveRun(t *testing.T) {
	request := attempts.Request{MaxSent: 9, NonIdempotent: true}
	for _, code := range result.All() {
		history := attempts.History{Sent: 1, Last: result.New(code)}
		if code.Ran == result.RanUnknown && history.MayRetry(time.Time{}, request, false) {
			t.Errorf("%s is retried", code.Name)
		}
	}
}

// TestFailurePrefersMayHaveRun guards against reporting "not run" to the caller when one of the
// attempts may have run.
func TestFailurePrefersMayHaveRun(t *testing.T) {
	lost, busy, draining := result.New(result.ConnectionLost), result.New(result.Busy).WithRetryAfter(time.Minute), result.New(result.Draining)
	record := func(failures ...*result.Error) *attempts.History {
		h := &attempts.History{}
		for _, failure := range failures {
			h.Record(nil, failure, false)
		}
		return h
	}
	for name, test := range map[string]struct {
		got   *result.Error
		want  result.Code
		after time.Duration
	}{
		"the last":                                {record(draining, busy).Failure(), result.Busy, time.Minute},
		"one may have run":                        {record(lost, busy).Failure(), result.ConnectionLost, time.Minute},
		"one had no retry budget":                 {record(lost, result.New(result.RetryLimit)).Failure(), result.ConnectionLost, 0},
		"one had no retry budget, then no slot":   {record(lost, result.New(result.RetryLimit), busy).Failure(), result.ConnectionLost, time.Minute},
		"all had no retry budget":                 {record(result.New(result.RetryLimit)).Failure(), result.RetryLimit, 0},
		"none was tried":                          {record().NoTargetFailure(0, ""), result.NoneAble, time.Second},
		"none accepts requests":                   {record(busy, draining).NoTargetFailure(2, ""), result.NoneAble, time.Second},
		"none is left":                            {record(draining, busy).NoTargetFailure(2, ""), result.Busy, time.Minute},
		"none accepts requests, one may have run": {record(lost, draining).NoTargetFailure(2, ""), result.ConnectionLost, time.Second},
	} {
		if test.got.Code.Number != test.want.Number || test.got.RetryAfter != test.after {
			t.Errorf("%s: got %s, retry after %v", name, test.got.Code.Name, test.got.RetryAfter)
		}
	}
}
