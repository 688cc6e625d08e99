package sidecar

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/runs"
)

// sendings counts the requests that a service's backend servers of this host were sent.
type sendings struct{ first, repeat tally.Counter }

func newSendings(scope tally.Scope, service string) sendings {
	counter := func(kind string) tally.Counter {
		return scope.Tagged(map[string]string{"service": service, "kind": kind}).Counter("sidecar_sendings")
	}
	return sendings{first: counter("first"), repeat: counter("repeat")}
}

// begin records that the request is sent to the backend server now and returns the function to call
// when its run ends. A retry is refused if the retries for the calls that it will make are neither left
// nor lent.
func (s *Sidecar) begin(ctx context.Context, server *server, call hop.Call, id string) (end func(), err error) {
	run := runs.Run{ID: id, Service: server.declared.Load().Service.Name, Retry: call.Retry}
	borrowed, ok := s.borrowFor(ctx, run)
	now := time.Now()
	if !ok || !s.config.Retries.BeginRun(now, run, borrowed) {
		return nil, result.New(result.RetryLimit)
	}
	s.config.Runs.Begin(now, run)
	server.sendings.count(run)
	return func() { s.config.Retries.FinishRun(time.Now(), run) }, nil
}

// borrowFor borrows the retries that are missing for the calls of a retry and returns the services they
// are of, and false if no other host lends them.
func (s *Sidecar) borrowFor(ctx context.Context, run runs.Run) (borrowed []string, ok bool) {
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

// count counts the sending.
func (c sendings) count(run runs.Run) {
	if run.Retry {
		c.repeat.Inc(1)
		return
	}
	c.first.Inc(1)
}
