package ingress

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

const (
	// reservationDivisor divides the remaining time to get the timeout of a reservation that does
	// not wait for a slot. The rest is left for trying another backend server.
	reservationDivisor = 3
	// maxReservationTimeout is the maximum timeout of such a reservation. It covers the
	// retransmission of one lost packet, which takes 200 ms.
	maxReservationTimeout = 400 * time.Millisecond
)

// reserve reserves a slot at the target's sidecar, by a function call if the target is on this
// host, and returns the reservation's ID.
func (a *attempt) reserve(ctx context.Context) (string, error) {
	call := a.call()
	if call.TimeLeft <= 0 {
		return "", result.New(result.DeadlineBeforeRun)
	}
	if address, remote := a.in.remote(a.Target); remote {
		return a.in.requestReservation(ctx, call, address)
	}
	return a.in.config.LocalReservation(ctx, call)
}

// reservationTimeout returns the timeout of the call's reservation. One that waits for a slot may
// use all the remaining time; the sidecar refuses it earlier if no slot can become free in time.
func reservationTimeout(call hop.Call) time.Duration {
	if !call.RefuseIfBusy {
		return call.TimeLeft
	}
	return min(call.TimeLeft/reservationDivisor, maxReservationTimeout)
}

// requestReservation requests a reservation from the daemon at the address. A reservation runs
// nothing, so if it fails in any way, the request was not run and will not be.
func (in *Ingress) requestReservation(ctx context.Context, call hop.Call, address string) (string, error) {
	timeout := reservationTimeout(call)
	reserveCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call.WantReservation = true
	call.TimeLeft = timeout
	call.Baseline = "" // only the request itself needs it
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: address, Header: http.Header{}}
	response, err := in.hop(reserveCtx, call, request, address)
	if err != nil {
		return "", reservationFailure(ctx, result.From(err))
	}
	defer func() { _ = response.Body.Close() }()
	id := response.Header.Get(hop.HeaderReservation)
	if id == "" {
		return "", result.New(result.ReservationUnanswered).WithDetail("%s answered without a reservation", address)
	}
	return id, nil
}

// reservationFailure returns a failure that guarantees that the request was not run. If only the
// timeout of the reservation has expired, another backend server may still be tried.
func reservationFailure(ctx context.Context, failure *result.Error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.Wrap(result.CancelledBefore, failure) // cancelled by this daemon, so no evidence against the host
	}
	onlyReservation := ctx.Err() == nil && failure.Code.Number == result.DeadlineBeforeRun.Number
	if failure.Code.Ran == result.RanNo && !onlyReservation {
		return failure
	}
	return result.Wrap(result.ReservationUnanswered, failure)
}
