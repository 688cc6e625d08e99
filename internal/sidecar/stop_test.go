package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// TestStoppingSidecarRunsNothingItWouldCut guards against requests of other daemons that a planned stop takes and cuts
// while its backend server runs them. A slot is reserved by a call with a shorter deadline than the request has.
func TestStoppingSidecarRunsNothingItWouldCut(t *testing.T) {
	tests := []struct {
		name     string
		timeLeft time.Duration // of the request; its connection ends in 5 s
		reserved bool
		want     string // result of the request; empty if it ran
	}{
		{"ends in time", 4 * time.Second, false, ""},
		{"may outlast the stop", 6 * time.Second, false, "2002 stopping"},
		{"with a reservation, ends in time", 4 * time.Second, true, ""},
		{"with a reservation, may outlast the stop", 6 * time.Second, true, "2002 stopping"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHopTo(t, 1<<20, nil)
			h.sidecar.BeginShutdown(time.Now().Add(5 * time.Second))
			call := hop.Call{TimeLeft: test.timeLeft}
			if test.reserved {
				reserved := h.send(t, hop.Call{WantReservation: true, TimeLeft: 400 * time.Millisecond}, nil)
				call.NonIdempotent, call.Reservation = true, reserved.Header.Get(hop.HeaderReservation)
			}
			response := h.send(t, call, strings.NewReader("a book"))
			ran := h.ran.Load() == 1
			if got := response.Header.Get(result.Header); got != test.want || ran != (test.want == "") {
				t.Fatalf("status %d, %q, ran: %t, want %q", response.StatusCode, got, ran, test.want)
			}
			if free := h.send(t, hop.Call{WantReservation: true, RefuseIfBusy: true, TimeLeft: time.Second}, nil); free.StatusCode != http.StatusNoContent {
				t.Fatalf("the slot is not free afterwards: %s", free.Header.Get(result.Header))
			}
		})
	}
}

// TestStoppedSidecarRunsReservedRequests guards against a request that loses its reserved slot when the sidecar stops
// before it arrives, although it ends in time.
func TestStoppedSidecarRunsReservedRequests(t *testing.T) {
	h := newHopTo(t, 1<<20, nil)
	h.sidecar.BeginShutdown(time.Now().Add(5 * time.Second))
	reserved := h.send(t, hop.Call{WantReservation: true, TimeLeft: 400 * time.Millisecond}, nil)
	h.sidecar.Stop()
	call := hop.Call{NonIdempotent: true, Reservation: reserved.Header.Get(hop.HeaderReservation), TimeLeft: 4 * time.Second}
	if response := h.send(t, call, strings.NewReader("a book")); h.ran.Load() != 1 {
		t.Fatalf("status %d, %q", response.StatusCode, response.Header.Get(result.Header))
	}
}
