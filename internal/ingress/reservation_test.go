package ingress

import (
	"context"
	"testing"

	"github.com/tideliftd/tidelift/internal/failures"
	"github.com/tideliftd/tidelift/internal/result"
)

// TestAReservationThatIsNotWantedBlamesNobody ends the question for a reservation, since the caller
// left or the answer came meanwhile: that is no evidence against who was asked.
func TestAReservationThatIsNotWantedBlamesNobody(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	failure := result.From(reservationFailure(ctx, result.New(result.CallerGone)))
	if failure.Code.Number != result.CancelledBefore.Number {
		t.Fatalf("got %s", failure.Code.Name)
	}
	if _, seen := failures.Evidence(failure.Code); seen || failures.Classify(failure.Code).Target != failures.Unchanged {
		t.Fatal("the host that was asked is blamed")
	}
}

// TestAReservationThatDoesNotComeIsEvidence keeps what a silent host shows.
func TestAReservationThatDoesNotComeIsEvidence(t *testing.T) {
	failure := result.From(reservationFailure(context.Background(), result.New(result.DeadlineBeforeRun)))
	if failure.Code.Number != result.ReservationUnanswered.Number || failures.Classify(failure.Code).Target != failures.HostUnresponsive {
		t.Fatalf("got %s", failure.Code.Name)
	}
}
