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
	// reservationDivisor divides the time left into what a reservation may take that does not
	// wait for a slot: a third. Not measured: what is left then is enough to try another backend
	// server.
	reservationDivisor = 3
	// reservationWithin bounds it further. Source: ten round trips between data
	// centres, and a lost packet's first retransmission after 200 ms.
	reservationWithin = 400 * time.Millisecond
)

// reserve asks the target's sidecar, directly if it is the daemon's own, to keep a slot for
// the request, and returns its leave to run it.
func (a *attempt) reserve(ctx context.Context) (string, error) {
	call := a.call()
	if call.TimeLeft <= 0 {
		return "", result.New(result.DeadlineBeforeRun)
	}
	if address, remote := a.in.remote(a.Target); remote {
		return a.in.askReservation(ctx, call, address)
	}
	return a.in.config.LocalReservation(ctx, call)
}

// reservationTime is how long the call's reservation may take. One that waits for a slot
// may wait as long as there is time; the sidecar refuses it earlier if no slot
// can come in time.
func reservationTime(call hop.Call) time.Duration {
	if !call.RefuseIfBusy {
		return call.TimeLeft
	}
	return min(call.TimeLeft/reservationDivisor, reservationWithin)
}

// askReservation asks the daemon at the address for a reservation. Asking runs nothing, so whatever becomes of it,
// without a reservation the request was not run and will not be.
func (in *Ingress) askReservation(ctx context.Context, call hop.Call, address string) (string, error) {
	within := reservationTime(call)
	asking, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	call.WantReservation = true
	call.TimeLeft = within
	call.Baseline = "" // is of use to what runs
	ask := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: address, Header: http.Header{}}
	response, err := in.hop(asking, call, ask, address)
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

// reservationFailure returns a failure that promises that the request was not run. If only the time for the
// reservation is over, another backend server may still be asked.
func reservationFailure(ctx context.Context, failure *result.Error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.Wrap(result.CancelledBefore, failure) // it is no longer wanted, which says nothing of the host
	}
	onlyReservation := ctx.Err() == nil && failure.Code.Number == result.DeadlineBeforeRun.Number
	if failure.Code.Ran == result.RanNo && !onlyReservation {
		return failure
	}
	return result.Wrap(result.ReservationUnanswered, failure)
}
