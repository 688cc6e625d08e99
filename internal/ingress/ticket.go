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
	// ticketPart is the part of the time left that a ticket may take if it does
	// not wait for a slot: what is left then is enough to try another backend
	// server.
	ticketPart = 3
	// ticketWithin bounds it further. Source: ten round trips between data
	// centres, and a lost packet's first repeat after 200 ms.
	ticketWithin = 400 * time.Millisecond
)

// ticket asks the target's sidecar, directly if it is the daemon's own, to keep a slot for
// the request, and returns its leave to run it.
func (in *Ingress) ticket(ctx context.Context, r *request, c choice) (string, error) {
	call := in.call(r, c)
	if call.TimeLeft <= 0 {
		return "", result.New(result.DeadlineBeforeRun)
	}
	if address, remote := in.remote(c.target); remote {
		return in.askTicket(ctx, call, address)
	}
	return in.config.LocalTicket(ctx, call)
}

// ticketTime is how long the call's ticket may take. One that waits for a slot
// may wait as long as there is time; the sidecar refuses it earlier if no slot
// can come in time.
func ticketTime(call hop.Call) time.Duration {
	if !call.NoWait {
		return call.TimeLeft
	}
	return min(call.TimeLeft/ticketPart, ticketWithin)
}

// askTicket asks the daemon at the address for a ticket. Asking runs nothing, so whatever becomes of it,
// without a ticket the request was not run and will not be.
func (in *Ingress) askTicket(ctx context.Context, call hop.Call, address string) (string, error) {
	within := ticketTime(call)
	asking, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	call.WantTicket = true
	call.TimeLeft = within
	call.Reference = "" // is of use to what runs
	ask := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Host: address, Header: http.Header{}}
	response, err := in.hop(asking, call, ask, address)
	if err != nil {
		return "", ticketFailure(ctx, result.From(err))
	}
	defer func() { _ = response.Body.Close() }()
	id := response.Header.Get(hop.HeaderTicket)
	if id == "" {
		return "", result.New(result.TicketUnanswered).WithDetail("%s answered without a ticket", address)
	}
	return id, nil
}

// ticketFailure says that the request was not run. If only the time for the
// ticket is over, another backend server may still be asked.
func ticketFailure(ctx context.Context, failure *result.Error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.Wrap(result.CancelledBefore, failure) // it is no longer wanted, which says nothing of the host
	}
	onlyTicket := ctx.Err() == nil && failure.Code.Number == result.DeadlineBeforeRun.Number
	if failure.Code.Ran == result.RanNo && !onlyTicket {
		return failure
	}
	return result.Wrap(result.TicketUnanswered, failure)
}
