package sidecar

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// Handler serves the requests that other daemons pass on.
func (s *Sidecar) Handler() http.Handler {
	return http.HandlerFunc(s.serve)
}

// serve reads what another daemon asks and the body, and then grants a reservation or runs
// the request.
func (s *Sidecar) serve(w http.ResponseWriter, r *http.Request) {
	hop.SuppressDate(w.Header())
	call, err := hop.Decode(r.Header)
	if err != nil {
		result.Write(w, result.Wrap(result.MalformedRequest, err).WithDetail("%s", err))
		return
	}
	sent := body.New(w, r, math.MaxInt64) // the ingress bounds it
	defer sent.Finish()
	if err := sent.Prepare(time.Now().Add(call.TimeLeft)); err != nil {
		writeRefusal(w, result.Wrap(result.CancelledBefore, err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), call.TimeLeft)
	defer cancel()
	if call.WantReservation {
		s.serveReservation(ctx, w, call)
		return
	}
	if call.NonIdempotent && call.Reservation == "" {
		writeRefusal(w, result.New(result.ReservationExpired).WithDetail("a request that must not run twice needs a reservation"))
		return
	}
	call.Body = sent
	own := *r // net/http must keep its own request as it was
	sent.Rewind(&own)
	s.serveRun(ctx, w, call, &own)
}

// serveRun runs the request and passes its answer on.
func (s *Sidecar) serveRun(ctx context.Context, w http.ResponseWriter, call hop.Call, r *http.Request) {
	answer, err := s.Do(ctx, call, r)
	if err != nil {
		writeRefusal(w, result.From(err))
		return
	}
	defer func() { _ = answer.Response.Body.Close() }()
	hop.EncodeServed(w.Header(), answer.Load, answer.Waited)
	hop.EncodeFailing(w.Header(), answer.Failing)
	if err := hop.WriteAnswer(w, answer.Response); err != nil {
		panic(http.ErrAbortHandler) // closes the connection, so that the answer does not look whole
	}
}

// writeRefusal answers with the code and, to the millisecond, when to come back.
// It has no body: a caller gets one from the daemon that it asked.
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
