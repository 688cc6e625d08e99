package sidecar

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

// Handler serves the requests that other daemons forward.
func (s *Sidecar) Handler() http.Handler {
	return http.HandlerFunc(s.serve)
}

// serve decodes the call, reads the body, and then grants a reservation or runs the request.
func (s *Sidecar) serve(w http.ResponseWriter, r *http.Request) {
	hop.SuppressDate(w.Header())
	call, err := hop.Decode(r.Header)
	if err != nil {
		result.Write(w, result.Wrap(result.MalformedRequest, err).WithDetail("%s", err))
		return
	}
	sent := body.New(w, r, math.MaxInt64) // the ingress limits the size
	sent.ChargeTo(s.config.BodyMemory, body.Holder{Kind: body.HolderHost, Name: call.Host})
	defer sent.Finish()
	if err := sent.Prepare(time.Now().Add(call.TimeLeft)); err != nil {
		s.refuseBody(w, call, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), call.TimeLeft)
	defer cancel()
	if call.WantReservation {
		s.serveReservation(ctx, w, call)
		return
	}
	if call.NonIdempotent && call.Reservation == "" {
		writeRefusal(w, result.New(result.ReservationExpired).WithDetail("a non-idempotent request needs a reservation"))
		return
	}
	call.Body = sent
	own := *r // net/http requires that its request stays unmodified
	sent.Rewind(&own)
	s.serveRun(ctx, w, call, &own)
}

// refuseBody refuses a request whose body could not be read. For lack of memory, that may take long to
// change, so that the slot that a reservation holds for the request is released immediately.
func (s *Sidecar) refuseBody(w http.ResponseWriter, call hop.Call, err error) {
	if !errors.Is(err, body.ErrNoRoom) {
		writeRefusal(w, result.Wrap(result.CancelledBefore, err))
		return
	}
	s.reservations.expire(call.Reservation)
	refusal := noBodyMemory(err)
	s.refused.Inc(refusal.Code)
	writeRefusal(w, refusal)
}

// noBodyMemory returns the refusal of a request for whose body no memory is left.
func noBodyMemory(err error) *result.Error {
	return result.Wrap(result.BodyMemory, err).WithRetryAfter(retryafter.BodyMemory)
}

// serveRun runs the request and forwards the answer.
func (s *Sidecar) serveRun(ctx context.Context, w http.ResponseWriter, call hop.Call, r *http.Request) {
	answer, err := s.Do(ctx, call, r)
	call.Body.AnnounceClose(w.Header())
	if err != nil {
		writeRefusal(w, result.From(err))
		return
	}
	defer func() { _ = answer.Response.Body.Close() }()
	hop.EncodeServed(w.Header(), answer.Load, answer.Waited)
	hop.EncodeFailing(w.Header(), answer.Failing)
	hop.EncodeLimit(w.Header(), answer.Limit)
	if err := hop.WriteAnswer(w, answer.Response); err != nil {
		panic(http.ErrAbortHandler) // closes the connection, so that the answer does not look complete
	}
}

// writeRefusal answers with the result code and the retry delay in milliseconds. It writes no body:
// the daemon that the caller is connected to adds one.
func writeRefusal(w http.ResponseWriter, e *result.Error) {
	h := w.Header()
	h.Set(result.Header, strconv.Itoa(e.Code.Number)+" "+e.Code.Name)
	if e.RetryAfter > 0 {
		h.Set(hop.HeaderRetryAfter, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	if e.Detail != "" {
		h.Set(hop.HeaderDetail, e.Detail)
	}
	h.Set("Content-Length", "0")
	w.WriteHeader(e.Code.Status)
}
