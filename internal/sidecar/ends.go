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

// fingerprintOf returns what the request's fingerprint is made of. The function returns the first bytes of its
// body.
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

// mayWait returns why the request may not wait for a slot: it is quarantined, and no trial of it is due.
func (s *Sidecar) mayWait(call hop.Call, in *http.Request) error {
	id, quarantined := s.quarantined(call, in)
	if !quarantined || s.config.Quarantine.TrialDue(id) {
		return nil
	}
	return refuseQuarantined(id)
}

// mayRun returns why the request, which has a slot, may not run: it is quarantined, and this is not its trial. An
// ingress knows nothing of quarantines; no backend server of this host is sent a request without this check.
func (s *Sidecar) mayRun(ctx context.Context, call hop.Call, in *http.Request) error {
	id, quarantined := s.quarantined(call, in)
	if !quarantined || s.config.Quarantine.StartTrial(ctx, id) {
		return nil
	}
	return refuseQuarantined(id)
}

// quarantined reports whether the request is quarantined, and returns its fingerprint if it is.
func (s *Sidecar) quarantined(call hop.Call, in *http.Request) (string, bool) {
	q := s.config.Quarantine
	if q == nil || q.Empty() {
		return "", false
	}
	status, id := q.Status(s.fingerprintOf(in, call.Body.First))
	return id, status == quarantine.Quarantined
}

func refuseQuarantined(id string) error {
	return result.New(result.Quarantined).WithDetail("fingerprint %s", id)
}

// recordAnswered records that the backend server is alive and has answered the request, which ends a
// suspicion or quarantine of that request.
func (s *Sidecar) recordAnswered(server *server, call hop.Call, in *http.Request) {
	server.recordAlive()
	if q := s.config.Quarantine; q != nil && !q.Empty() {
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
