package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fingerprint"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/route"
)

// fingerprintOf returns the input of the request's fingerprint. body returns the first bytes of the
// request's body.
func (s *Sidecar) fingerprintOf(in *http.Request, body func(limit int) ([]byte, error)) fingerprint.Request {
	return fingerprint.Request{
		Method:   in.Method,
		Host:     in.Host,
		Path:     route.SentPath(in.URL),
		Query:    in.URL.RawQuery,
		Customer: in.Header.Get(s.headers.Load().CustomerHeader),
		Body:     body,
	}
}

// checkBeforeWait returns an error if the request is quarantined and no trial of it is due.
func (s *Sidecar) checkBeforeWait(call hop.Call, in *http.Request) error {
	id, quarantined, err := s.quarantined(call, in)
	if err != nil || !quarantined || s.config.Quarantine.TrialDue(id) {
		return err
	}
	return refuseQuarantined(id)
}

// checkBeforeRun returns an error if the request, which holds a slot, is quarantined and this is
// not its trial. If it is, trial is the request's fingerprint. Ingresses do not know about quarantines, so every
// request to a backend server of this host must pass this check.
func (s *Sidecar) checkBeforeRun(ctx context.Context, call hop.Call, in *http.Request) (trial string, err error) {
	id, quarantined, err := s.quarantined(call, in)
	if err != nil || !quarantined {
		return "", err
	}
	if !s.config.Quarantine.StartTrial(ctx, id) {
		return "", refuseQuarantined(id)
	}
	return id, nil
}

// returnTrial gives back the trial of a quarantined request, if the slot is for one, because it did not run.
func (s *Sidecar) returnTrial(slot *slot) {
	if slot.trial != "" {
		s.config.Quarantine.ReturnTrial(slot.trial)
	}
}

// quarantined reports whether the request is quarantined, and returns its fingerprint if it is. It
// returns an error if no memory is left for the part of the body that identifies the request: the request could be
// sent without it, unlike one whose body cannot be read.
func (s *Sidecar) quarantined(call hop.Call, in *http.Request) (string, bool, error) {
	q := s.config.Quarantine
	if q == nil || q.Empty() {
		return "", false, nil
	}
	var unread error
	peek := func(limit int) ([]byte, error) {
		first, err := call.Body.Peek(limit)
		unread = err
		return first, err
	}
	status, id := q.Status(s.fingerprintOf(in, peek))
	if errors.Is(unread, body.ErrNoRoom) {
		return "", false, noBodyMemory(unread)
	}
	return id, status == quarantine.Quarantined, nil
}

func refuseQuarantined(id string) error {
	return result.New(result.Quarantined).WithDetail("fingerprint %s", id)
}

// recordAnswered records that the backend server is alive and has answered the request, which ends
// a suspicion or quarantine of that request, also one that other daemons have not reported yet.
func (s *Sidecar) recordAnswered(server *server, call hop.Call, in *http.Request) {
	server.recordAlive()
	if q := s.config.Quarantine; q != nil {
		q.RecordAnswer(s.fingerprintOf(in, call.Body.TryPeek))
	}
}

// recordFailure checks whether a request failed because its backend server has ended, and reports
// that. Only the sidecar can check it: from other hosts a lost connection and a lost host are
// indistinguishable.
func (s *Sidecar) recordFailure(server *server, failure *result.Error, call hop.Call, in *http.Request, began time.Time) {
	if failure.Code.Number != result.ConnectionLost.Number || server.isDraining() {
		return
	}
	took := time.Since(began)
	request := s.fingerprintOf(in, call.Body.TryPeek)
	report := func() { s.reportEnded(server, request, s.headers.Load().id(in.Header), took) }
	if server.pool.CheckEnded(report) {
		report()
	}
}

// reportEnded counts, logs and passes to the quarantine that a backend server has ended while it
// ran the request.
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

// recordEnd records that the backend server has ended, and returns when, in Unix milliseconds. The
// time is the same for all requests that ran, until the backend server answers again.
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

// recordAlive records that the backend server has answered, which clears a recorded end.
func (s *server) recordAlive() {
	if s.endedAt.Load() != 0 {
		s.endedAt.Store(0)
	}
}
