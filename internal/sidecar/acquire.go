package sidecar

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// acquire waits for a slot until the task refuses or ctx ends.
func (s *server) acquire(ctx context.Context, id uint64, call hop.Call, deadline time.Time) (*slot, error) {
	request := admission.Request{
		ID:       id,
		Customer: call.Customer,
		Priority: call.Priority,
		TargetAt: deadline.Add(call.TargetLeft - call.TimeLeft),
		Usual:    call.Usual,
		Deadline: deadline,
	}
	reply := make(chan grant, 1)
	if !s.send(offerMessage{request: request, call: call, reply: reply}) {
		return nil, result.New(result.Draining)
	}
	select {
	case g := <-reply:
		return s.granted(ctx, g)
	case <-ctx.Done():
		s.withdraw(request, reply)
		return nil, cancelled(ctx)
	case <-s.ended:
		return nil, result.New(result.Draining)
	}
}

// granted checks that the request is still wanted.
func (s *server) granted(ctx context.Context, g grant) (*slot, error) {
	if g.err != nil {
		return nil, g.err
	}
	granted := s.newSlot(g)
	if ctx.Err() != nil {
		granted.release()
		return nil, cancelled(ctx)
	}
	return granted, nil
}

// newSlot returns the slot that was granted a moment ago.
func (s *server) newSlot(g grant) *slot {
	return &slot{server: s, granted: time.Now(), probation: g.probation}
}

// withdraw takes a request out of the queue, or gives its slot back if it was
// granted one in the meantime.
func (s *server) withdraw(request admission.Request, reply chan grant) {
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
		s.newSlot(g).release()
	}
}

func cancelled(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineBeforeRun)
	}
	return result.New(result.CancelledBefore)
}
