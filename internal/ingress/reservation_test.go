package ingress

import (
	"context"
	"testing"

	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
)

// TestCancelledReservationIsNoEvidence guards against evidence from a reservation that was
// cancelled because the caller disconnected or another attempt was answered.
func TestCancelledReservationIsNoEvidence(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	failure := result.From(reservationFailure(ctx, result.New(result.CallerGone)))
	if failure.Code.Number != result.CancelledBefore.Number {
		t.Fatalf("got %s", failure.Code.Name)
	}
	if _, seen := failures.Evidence(failure.Code); seen || failures.Classify(failure.Code).Target != failures.Unchanged {
		t.Fatal("a cancelled reservation counts as evidence against the host")
	}
}

// TestUnansweredReservationIsEvidence guards against ignoring a host that does not answer a
// reservation in time.
func TestUnansweredReservationIsEvidence(t *testing.T) {
	failure := result.From(reservationFailure(context.Background(), result.New(result.DeadlineBeforeRun)))
	if failure.Code.Number != result.ReservationUnanswered.Number || failures.Classify(failure.Code).Target != failures.HostUnresponsive {
		t.Fatalf("got %s", failure.Code.Name)
	}
}
