package sidecar

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/runs"
)

// sentRequests counts the requests that were sent to a service's backend servers on this host.
type sentRequests struct{ first, retry tally.Counter }

func newSentRequests(scope tally.Scope, service string) sentRequests {
	counter := func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{"service": service, "kind": kind}).Counter("sidecar_sendings")
	}
	return sentRequests{first: counter("first"), retry: counter("repeat")}
}

// begin records that the request is sent to the backend server now, and returns the function to
// call when the run ends. A retry is refused if the retry budgets for the calls that it will make
// are exhausted and no other host lends any.
func (s *Sidecar) begin(ctx context.Context, server *server, call hop.Call, id string) (end func(), err error) {
	run := runs.Run{ID: id, Service: server.declared.Load().Service.Name, Retry: call.Retry}
	borrowed, ok := s.borrowRetries(ctx, run)
	now := time.Now()
	if !ok || !s.config.Retries.BeginRun(now, run, borrowed) {
		return nil, result.New(result.RetryLimit)
	}
	s.config.Runs.Begin(now, run)
	server.sentRequests.count(run)
	return func() { s.config.Retries.FinishRun(time.Now(), run) }, nil
}

// borrowRetries borrows the retries that are missing for the calls of a retry. It returns the
// called services, one entry per retry, and false if no other host lends them.
func (s *Sidecar) borrowRetries(ctx context.Context, run runs.Run) (borrowed []string, ok bool) {
	if !run.Retry || s.config.BorrowRetry == nil {
		return nil, true
	}
	for _, service := range s.config.Retries.Shortfall(time.Now(), run.Service) {
		if !s.config.BorrowRetry(ctx, service) {
			return nil, false
		}
		borrowed = append(borrowed, service)
	}
	return borrowed, true
}

func (c sentRequests) count(run runs.Run) {
	if run.Retry {
		c.retry.Inc(1)
		return
	}
	c.first.Inc(1)
}
