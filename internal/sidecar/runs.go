package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/runs"
)

// sentRequests counts the requests that were sent to a service's backend servers on this host, and
// the retries that were not for lack of retries for their calls.
type sentRequests struct{ first, retry, refusedForCalls tally.Counter }

func newSentRequests(scope tally.Scope, service string) sentRequests {
	counter := func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{"service": service, "kind": kind}).Counter("sidecar_sendings")
	}
	refused := scope.Tagged(map[string]string{"service": service}).Counter("sidecar_retries_refused_for_calls")
	return sentRequests{first: counter("first"), retry: counter("repeat"), refusedForCalls: refused}
}

// begin records that the request is sent to the backend server now, and returns the function to
// call when the run ends, which is given whether the run shows what its route calls. A retry is
// refused if the retry budgets for the calls that it will make are exhausted and no other host lends
// any.
func (s *Sidecar) begin(ctx context.Context, server *server, call hop.Call, id string) (end func(showsCalls bool), err error) {
	run := runs.Run{
		ID: id, Service: server.declared.Load().Service.Name, Route: call.Route, Long: isLong(s.config.LongLatencyTarget, call), Retry: call.Retry,
	}
	borrowed, ok := s.borrowRetries(ctx, run)
	now := time.Now()
	if !ok || !s.config.Retries.BeginRun(now, run, borrowed) {
		refusal := result.New(result.RetryLimit)
		server.sentRequests.countRefusal(refusal)
		return nil, refusal
	}
	s.config.Runs.Begin(now, run)
	server.sentRequests.count(run)
	return func(showsCalls bool) { s.finish(run, showsCalls) }, nil
}

// finish records that the run has ended.
func (s *Sidecar) finish(run runs.Run, showsCalls bool) {
	now := time.Now()
	if showsCalls {
		s.config.Retries.RecordAnswered(now, run)
	}
	s.config.Retries.FinishRun(now, run)
}

// showsCalls reports whether the run with that answer has made the calls that runs of its route
// make. A backend server that sheds a request, or fails immediately, has made none of them.
func showsCalls(response *http.Response) bool {
	return response.StatusCode < http.StatusInternalServerError && !impliesNotRun(response.StatusCode)
}

// borrowRetries borrows the retries that are missing for the calls of a retry. It returns the
// called services, one entry per retry, and false if no other host lends them.
func (s *Sidecar) borrowRetries(ctx context.Context, run runs.Run) (borrowed []string, ok bool) {
	if !run.Retry || s.config.BorrowRetry == nil {
		return nil, true
	}
	for _, service := range s.config.Retries.Shortfall(time.Now(), run) {
		if !s.config.BorrowRetry(ctx, service) {
			return nil, false
		}
		borrowed = append(borrowed, service)
	}
	return borrowed, true
}

// countRefusal counts the refusal if it is for lack of retries for the calls of a retry.
func (c sentRequests) countRefusal(refusal *result.Error) {
	if refusal.Code.Number == result.RetryLimit.Number {
		c.refusedForCalls.Inc(1)
	}
}

func (c sentRequests) count(run runs.Run) {
	if run.Retry {
		c.retry.Inc(1)
		return
	}
	c.first.Inc(1)
}
