package sidecar

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/hop"
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

// noteSent takes it that the request of that id is sent to the backend server now.
func (s *Sidecar) noteSent(server *server, call hop.Call, id string) {
	service := server.declared.Load().Service.Name
	s.config.Runs.Begin(time.Now(), runs.Run{ID: id, Service: service, Repeat: call.Repeat})
	if call.Repeat {
		server.sendings.repeat.Inc(1)
		return
	}
	server.sendings.first.Inc(1)
}
