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

// begin takes it that the request is sent to the backend server now, and returns what is done at
// the end of its run. A retry is refused if the retries that its calls will be are neither left nor
// lent.
func (s *Sidecar) begin(ctx context.Context, server *server, call hop.Call, id string) (end func(), err error) {
	run := runs.Run{ID: id, Service: server.declared.Load().Service.Name, Retry: call.Retry}
	borrowed, ok := s.borrowFor(ctx, run)
	now := time.Now()
	if !ok || !s.config.Retries.Begin(now, run, borrowed) {
		return nil, result.New(result.RetryLimit)
	}
	s.config.Runs.Begin(now, run)
	server.sendings.count(run)
	return func() { s.config.Retries.Finish(time.Now(), run) }, nil
}

// borrowFor borrows what is missing for the calls of a retry, and says false if others do not have
// it.
func (s *Sidecar) borrowFor(ctx context.Context, run runs.Run) (borrowed []string, ok bool) {
	if !run.Retry || s.config.BorrowRetry == nil {
		return nil, true
	}
	for _, service := range s.config.Retries.Missing(time.Now(), run.Service) {
		if !s.config.BorrowRetry(ctx, service) {
			return nil, false
		}
		borrowed = append(borrowed, service)
	}
	return borrowed, true
}

// count counts what is sent for the run.
func (c sendings) count(run runs.Run) {
	if run.Retry {
		c.repeat.Inc(1)
		return
	}
	c.first.Inc(1)
}
