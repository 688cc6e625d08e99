package ingress

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

// send passes the request to the target's sidecar, directly if it is the
// daemon's own.
func (in *Ingress) send(ctx context.Context, r *request, c choice) (sidecar.Answer, error) {
	call := in.call(r, c)
	if call.TimeLeft <= 0 {
		return sidecar.Answer{}, result.New(result.DeadlineBeforeRun)
	}
	if address, remote := in.remote(c.target); remote {
		return in.sendRemote(ctx, call, r.Request, address)
	}
	return in.config.Local(ctx, call, r.Request)
}

// sendRemote passes the request to another daemon. One that must not run twice
// first gets a ticket there, unless it has one.
func (in *Ingress) sendRemote(ctx context.Context, call hop.Call, r *http.Request, address string) (sidecar.Answer, error) {
	if call.Once && call.Ticket == "" {
		ticket, err := in.askTicket(ctx, call, address)
		if err != nil {
			return sidecar.Answer{}, err
		}
		call.Ticket = ticket
	}
	response, err := in.hop(ctx, call, r, address) //nolint:bodyclose // the answer carries the body to who closes it
	if err != nil {
		return sidecar.Answer{}, err
	}
	if err := hop.Hold(response); err != nil {
		return sidecar.Answer{}, hop.Classify(ctx, true, result.PeerUnreachable, err)
	}
	load, waited := hop.DecodeServed(response.Header)
	return sidecar.Answer{Response: response, Load: load, Waited: waited}, nil
}

const (
	// ticketPart is the part of the time left that a ticket may take if it does
	// not wait for a slot: what is left then is enough to try another backend
	// server.
	ticketPart = 3
	// ticketWithin bounds it further. Source: ten round trips between data
	// centres, and a lost packet's first repeat after 200 ms.
	ticketWithin = 400 * time.Millisecond
)

// ticketTime is how long the call's ticket may take. One that waits for a slot
// may wait as long as there is time; the sidecar refuses it earlier if no slot
// can come in time.
func ticketTime(call hop.Call) time.Duration {
	if !call.NoWait {
		return call.TimeLeft
	}
	return min(call.TimeLeft/ticketPart, ticketWithin)
}

// askTicket asks for a ticket. Asking runs nothing, so whatever becomes of it,
// without a ticket the request was not run and will not be.
func (in *Ingress) askTicket(ctx context.Context, call hop.Call, address string) (string, error) {
	within := ticketTime(call)
	asking, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	call.WantTicket = true
	call.TimeLeft = within
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
	onlyTicket := ctx.Err() == nil && failure.Code.Number == result.DeadlineBeforeRun.Number
	if failure.Code.Ran == result.RanNo && !onlyTicket {
		return failure
	}
	return result.Wrap(result.TicketUnanswered, failure)
}

// hop sends one request to another daemon. A refusal is an error.
func (in *Ingress) hop(ctx context.Context, call hop.Call, r *http.Request, address string) (*http.Response, error) {
	trip := hop.Trip{
		Transport:   in.transport,
		TLS:         in.config.TLS != nil,
		Address:     address,
		Unreachable: result.PeerUnreachable,
		SetHeaders:  call.Encode,
	}
	response, err := trip.Send(ctx, r)
	if err != nil {
		return nil, err
	}
	if text := response.Header.Get(result.Header); text != "" {
		return nil, readRefusal(response, text)
	}
	return response, nil
}

// readRefusal turns a sidecar's refusal back into its code.
func readRefusal(response *http.Response, text string) error {
	_ = response.Body.Close() // it is empty
	number, _, _ := strings.Cut(text, " ")
	parsed, err := strconv.Atoi(number)
	if err != nil {
		return result.Wrap(result.ConnectionLost, errors.Wrap(err, "read refusal"))
	}
	code, ok := result.ByNumber(parsed)
	if !ok {
		return result.New(result.ConnectionLost).WithDetail("refusal %q is not known here", text)
	}
	refusal := result.New(code)
	refusal.Detail = response.Header.Get(hop.HeaderDetail)
	millis, _ := strconv.ParseInt(response.Header.Get(hop.HeaderRetryAfter), 10, 64)
	refusal.RetryAfter = time.Duration(millis) * time.Millisecond
	return refusal
}
