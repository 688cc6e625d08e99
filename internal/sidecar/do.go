package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// Answer is a backend server's answer.
type Answer struct {
	// Response has a body that must be closed.
	Response *http.Response
	// Load is the load of the backend server; 1 means that every slot is taken.
	Load float64
	// Failing is the share of the backend server's recent requests that failed.
	Failing float64
	// Limit is the limit that the backend server names, in requests a second; zero if none.
	Limit float64
	// Waited is how long the request waited for a slot.
	Waited time.Duration
}

// Do runs the caller's request on a backend server of this host.
func (s *Sidecar) Do(ctx context.Context, call hop.Call, in *http.Request) (Answer, error) {
	answer, err := s.do(ctx, call, in)
	if err != nil {
		s.refused.Inc(result.From(err).Code)
	}
	return answer, err
}

func (s *Sidecar) do(ctx context.Context, call hop.Call, in *http.Request) (Answer, error) {
	others, err := detect.ParseBaseline(call.Baseline)
	if err != nil {
		return Answer{}, result.Wrap(result.MalformedRequest, err)
	}
	began := time.Now()
	slot, err := s.slotIfAllowed(ctx, call, in)
	if err != nil {
		return Answer{}, err
	}
	server := slot.server
	end, err := s.begin(ctx, server, call, s.headers.Load().id(in.Header))
	if err != nil {
		s.returnTrial(slot)
		slot.release()
		return Answer{}, err
	}
	slot.begin(others, call)
	response, err := s.exchange(ctx, server, call, in, began)
	if err != nil {
		if result.From(err).Code.Ran == result.RanNo { // the backend server is down, or says so itself
			s.returnTrial(slot)
		}
		slot.failed(result.From(err))
		s.recordFailure(server, result.From(err), call, in, began)
		slot.release()
		end(false)
		return Answer{}, err
	}
	slot.answered(response)
	s.reportAnswered(response)
	s.recordAnswered(server, call, in)
	release := sync.OnceFunc(func() {
		slot.release()
		end(showsCalls(response))
	})
	detach := context.AfterFunc(ctx, release) // the connection is closed then, although the caller may not have read the answer
	response.Body = hop.OnClose(response.Body, func() {
		detach()
		release()
	})
	return Answer{Response: response, Load: server.load(), Failing: server.failureRate(), Limit: server.limit(), Waited: slot.waited}, nil
}

// reportAnswered calls Config.OnAnswer.
func (s *Sidecar) reportAnswered(response *http.Response) {
	if s.config.OnAnswer != nil {
		s.config.OnAnswer(response.StatusCode < http.StatusInternalServerError)
	}
}

// slotIfAllowed returns a slot for the request unless the request is quarantined. A quarantined
// request is refused before it waits for a slot; a slot that a reservation holds for it is
// released.
func (s *Sidecar) slotIfAllowed(ctx context.Context, call hop.Call, in *http.Request) (*slot, error) {
	if call.Reservation == "" {
		if err := s.checkBeforeWait(call, in); err != nil {
			return nil, err
		}
	}
	slot, err := s.slotFor(ctx, call)
	if err != nil {
		return nil, err
	}
	if slot.trial, err = s.checkBeforeRun(ctx, call, in); err != nil {
		slot.release()
		return nil, err
	}
	return slot, nil
}

// slotFor returns the slot held by the call's reservation, or waits for one.
func (s *Sidecar) slotFor(ctx context.Context, call hop.Call) (*slot, error) {
	if call.Reservation == "" {
		return s.acquire(ctx, call)
	}
	now := time.Now()
	slot, err := s.reservations.redeem(call, now)
	if err != nil {
		return nil, err
	}
	if s.mayOutlastStop(call, now) { // the call that reserved the slot may have had a shorter deadline
		slot.release()
		return nil, result.New(result.Stopping)
	}
	return slot, nil
}

// acquire waits for a slot of the call's backend server.
func (s *Sidecar) acquire(ctx context.Context, call hop.Call) (*slot, error) {
	now := time.Now()
	if s.stopping.Load() || s.mayOutlastStop(call, now) {
		return nil, result.New(result.Stopping)
	}
	s.callers.record(call.Host, now)
	server, err := s.server(call.BackendServer)
	if err != nil {
		return nil, err
	}
	slot, err := server.acquire(ctx, s.nextID.Add(1), call)
	if err != nil {
		server.sentRequests.countRefusal(result.From(err))
	}
	return slot, err
}
