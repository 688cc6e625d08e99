package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fingerprint"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/result"
)

// fingerprintOf returns what tells whether the request is one that came before. The function returns the first
// bytes of its body.
func (s *Sidecar) fingerprintOf(in *http.Request, body func(limit int) ([]byte, error)) fingerprint.Request {
	return fingerprint.Request{
		Method:   in.Method,
		Host:     in.Host,
		Path:     in.URL.EscapedPath(),
		Query:    in.URL.RawQuery,
		Customer: in.Header.Get(s.headers.Load().CustomerHeader),
		Body:     body,
	}
}

// mayRun returns why the request is not sent to a backend server, if it has ended each one that ran it. The
// sidecar is the last gate: whatever an ingress knows, none of its backend servers gets such a request.
// It is asked before the request waits for a slot, so that it is refused at once, and again when it
// has one, which is when it may be the one that is tried once more.
func (s *Sidecar) mayRun(ctx context.Context, call hop.Call, in *http.Request, hasSlot bool) error {
	k := s.config.Quarantine
	if k == nil || k.Quiet() {
		return nil
	}
	status, id := k.Status(s.fingerprintOf(in, call.Body.First))
	if status != quarantine.Quarantined || !hasSlot && k.MayTry(id) || hasSlot && k.Try(ctx, id) {
		return nil
	}
	return result.New(result.Quarantined).WithDetail("fingerprint %s", id)
}

// noteAnswered takes it that a backend server has answered the request, which clears it of what may be
// held against it.
func (s *Sidecar) noteAnswered(server *server, call hop.Call, in *http.Request) {
	server.noteAlive()
	if k := s.config.Quarantine; k != nil && !k.Quiet() {
		k.Answered(s.fingerprintOf(in, call.Body.Known))
	}
}

// noteLost takes it that a request failed, and finds out whether that is since its backend server has
// ended. The sidecar is the nearest observer: to all others a connection that is cut, or a host
// that is lost, looks the same.
func (s *Sidecar) noteLost(server *server, failure *result.Error, call hop.Call, in *http.Request, began time.Time) {
	if failure.Code.Number != result.ConnectionLost.Number || server.isDraining() {
		return
	}
	took := time.Since(began)
	request := s.fingerprintOf(in, call.Body.Known)
	note := func() { s.noteEnded(server, request, s.headers.Load().id(in.Header), took) }
	if server.pool.Ended(note) {
		note()
	}
}

// noteEnded takes it that a backend server has ended while it ran the request.
func (s *Sidecar) noteEnded(server *server, request fingerprint.Request, id string, took time.Duration) {
	s.ends.Inc(1)
	declared := server.declared.Load()
	event.Log(s.config.Logger, event.ServerEnded, "backend_server", declared.BackendServer.Name, "service", declared.Service.Name,
		"request", id, "host", request.Host, "path", request.Path, "took_ms", took.Milliseconds())
	if s.config.Quarantine != nil {
		end := quarantine.End{Server: declared.BackendServer.Name, At: server.noteEnd(time.Now())}
		s.config.Quarantine.Ended(request, declared.Service.Name, end)
	}
}

// noteEnd takes it that the backend server has ended, and returns when, in Unix milliseconds: the same for all
// requests that ran, until it answers again.
func (s *server) noteEnd(now time.Time) int64 {
	at := now.UnixMilli()
	if s.endedAt.CompareAndSwap(0, at) {
		return at
	}
	if known := s.endedAt.Load(); known != 0 {
		return known
	}
	return at
}

// noteAlive takes it that the backend server answers.
func (s *server) noteAlive() {
	if s.endedAt.Load() != 0 {
		s.endedAt.Store(0)
	}
}
