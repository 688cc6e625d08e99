package sidecar

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// newRequest returns the call's request for a slot.
func newRequest(id uint64, call hop.Call, deadline time.Time) admission.Request {
	return admission.Request{
		ID:              id,
		Customer:        call.Customer,
		Priority:        call.Priority,
		LatencyTargetAt: deadline.Add(call.LatencyTargetLeft - call.TimeLeft),
		TypicalLatency:  call.TypicalLatency,
		Deadline:        deadline,
	}
}

// newAttempt returns the attempt that the call describes.
func newAttempt(call hop.Call) admission.Attempt {
	return admission.Attempt{
		NonIdempotent:    call.NonIdempotent,
		Retry:            call.Retry,
		DespiteSuspicion: call.DespiteSuspicion,
		RefuseIfHanging:  call.RefuseIfHanging,
		RefuseIfBusy:     call.RefuseIfBusy,
	}
}

// acquire waits for a slot until the task refuses the request or ctx ends.
func (s *server) acquire(ctx context.Context, id uint64, call hop.Call) (*slot, error) {
	requestedAt := time.Now()
	request := newRequest(id, call, requestedAt.Add(call.TimeLeft))
	reply := make(chan grant, 1)
	offer := offerMessage{
		attempt: newAttempt(call), request: request, host: call.Host, serverLimit: call.ServerLimit,
		route: call.Route, long: isLong(s.longLatencyTarget, call), reply: reply,
	}
	if !s.send(offer) {
		return nil, result.New(result.Draining)
	}
	select {
	case g := <-reply:
		return s.granted(ctx, g, requestedAt)
	case <-ctx.Done():
		s.withdraw(request, reply, requestedAt)
		return nil, cancelled(ctx)
	case <-s.ended:
		return nil, result.New(result.Draining)
	}
}

// granted returns the slot of the grant, or releases it if ctx has ended in the meantime.
func (s *server) granted(ctx context.Context, g grant, requestedAt time.Time) (*slot, error) {
	if g.err != nil {
		return nil, g.err
	}
	slot := s.newSlot(g, requestedAt)
	if ctx.Err() != nil {
		slot.release()
		return nil, cancelled(ctx)
	}
	return slot, nil
}

// newSlot returns the slot of a grant received just now.
func (s *server) newSlot(g grant, requestedAt time.Time) *slot {
	now := time.Now()
	return &slot{server: s, granted: now, waited: now.Sub(requestedAt), probation: g.probation}
}

// withdraw removes a request from the queue, or releases its slot if it was granted one in the
// meantime.
func (s *server) withdraw(request admission.Request, reply chan grant, requestedAt time.Time) {
	wasWaiting := make(chan bool, 1)
	if !s.send(cancelMessage{request: request, reply: wasWaiting}) {
		return
	}
	select {
	case waiting := <-wasWaiting:
		if waiting {
			return
		}
	case <-s.ended:
		return
	}
	if g := <-reply; g.err == nil {
		s.newSlot(g, requestedAt).release()
	}
}

func cancelled(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineBeforeRun)
	}
	return result.New(result.CancelledBefore)
}
