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
	q := s.config.Quarantine
	if q == nil || q.Quiet() {
		return nil
	}
	status, id := q.Status(s.fingerprintOf(in, call.Body.First))
	if status != quarantine.Quarantined || !hasSlot && q.TrialDue(id) || hasSlot && q.StartTrial(ctx, id) {
		return nil
	}
	return result.New(result.Quarantined).WithDetail("fingerprint %s", id)
}

// recordAnswered records that the backend server is alive and has answered the request, which ends a
// suspicion or quarantine of that request.
func (s *Sidecar) recordAnswered(server *server, call hop.Call, in *http.Request) {
	server.recordAlive()
	if q := s.config.Quarantine; q != nil && !q.Quiet() {
		q.RecordAnswer(s.fingerprintOf(in, call.Body.TryFirst))
	}
}

// recordLost looks whether a request failed because its backend server has ended, and reports that.
// Only the sidecar can tell: to everyone else a connection that is cut, or a host that is lost,
// looks the same.
func (s *Sidecar) recordLost(server *server, failure *result.Error, call hop.Call, in *http.Request, began time.Time) {
	if failure.Code.Number != result.ConnectionLost.Number || server.isDraining() {
		return
	}
	took := time.Since(began)
	request := s.fingerprintOf(in, call.Body.TryFirst)
	report := func() { s.reportEnded(server, request, s.headers.Load().id(in.Header), took) }
	if server.pool.CheckEnded(report) {
		report()
	}
}

// reportEnded counts, logs and passes on that a backend server has ended while it ran the request.
func (s *Sidecar) reportEnded(server *server, request fingerprint.Request, id string, took time.Duration) {
	s.ends.Inc(1)
	declared := server.declared.Load()
	event.Log(s.config.Logger, event.ServerEnded, "backend_server", declared.BackendServer.Name, "service", declared.Service.Name,
		"request", id, "host", request.Host, "path", request.Path, "took_ms", took.Milliseconds())
	if s.config.Quarantine != nil {
		end := quarantine.End{Server: declared.BackendServer.Name, At: server.recordEnd(time.Now())}
		s.config.Quarantine.RecordEnd(request, declared.Service.Name, end)
	}
}

// recordEnd records that the backend server has ended, and returns when, in Unix milliseconds: the same for all
// requests that ran, until it answers again.
func (s *server) recordEnd(now time.Time) int64 {
	at := now.UnixMilli()
	if s.endedAt.CompareAndSwap(0, at) {
		return at
	}
	if known := s.endedAt.Load(); known != 0 {
		return known
	}
	return at
}

// recordAlive records that the backend server has answered since it was seen to end.
func (s *server) recordAlive() {
	if s.endedAt.Load() != 0 {
		s.endedAt.Store(0)
	}
}
