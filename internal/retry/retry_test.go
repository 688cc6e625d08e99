package retry_test

import (
	"testing"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retry"
)

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		attempt retry.Attempt
		want    retry.Decision
	}{
		{"not sent", retry.Attempt{NonIdempotent: true, Err: result.New(result.ServerUnreachable)}, retry.Free},
		{"not sent, after the last attempt", retry.Attempt{Sent: 2, Most: 2, Err: result.New(result.Ejected)}, retry.Free},
		{"unknown, repeatable", retry.Attempt{Sent: 1, Most: 2, Err: result.New(result.ConnectionLost)}, retry.Again},
		{"unknown, not repeatable", retry.Attempt{Sent: 1, Most: 2, NonIdempotent: true, Err: result.New(result.ConnectionLost)}, retry.Final},
		{"no reservation", retry.Attempt{NonIdempotent: true, Err: result.New(result.ReservationUnanswered)}, retry.Free},
		{"the last attempt", retry.Attempt{Sent: 2, Most: 2, Err: result.New(result.ConnectionLost)}, retry.Final},
		{"not taken", retry.Attempt{Sent: 1, Most: 2, NonIdempotent: true, Err: result.New(result.NotTaken)}, retry.Again},
		{"not taken, the last attempt", retry.Attempt{Sent: 2, Most: 2, Err: result.New(result.NotTaken)}, retry.Final},
		{"a full queue, once", retry.Attempt{Full: 1, Err: result.New(result.QueueFull)}, retry.Free},
		{"a full queue, too often", retry.Attempt{Full: retry.MaxQueues, Err: result.New(result.QueueFull)}, retry.Final},
		{"a full queue, as often, for a call", retry.Attempt{Full: retry.MaxQueues, Subrequest: true, Err: result.New(result.QueueFull)}, retry.Free},
		{"a customer's share", retry.Attempt{Most: 2, Err: result.New(result.CustomerShare)}, retry.Final},
		{"the deadline", retry.Attempt{Sent: 1, Most: 2, Err: result.New(result.DeadlineWhileRunning)}, retry.Final},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := retry.Decide(test.attempt); got != test.want {
				t.Fatalf("got %s, want %s", got, test.want)
			}
		})
	}
}

// TestOnceIsNeverTriedAgainAfterItMayHaveRun goes through every code.
func TestOnceIsNeverTriedAgainAfterItMayHaveRun(t *testing.T) {
	for _, code := range result.All() {
		attempt := retry.Attempt{Sent: 1, Most: 9, NonIdempotent: true, Err: result.New(code)}
		if code.Ran == result.RanUnknown && retry.Decide(attempt) != retry.Final {
			t.Errorf("%s would be tried again", code.Name)
		}
	}
}
