package sidecar

import (
	"math"
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/serverlimit"
)

// recordLimit records what the head of an answer, whatever its status, says about the limit of the backend server. A
// limit that cannot be read changes nothing.
func (s *Sidecar) recordLimit(server *server, answer http.Header, sentAt time.Time) {
	d := server.declared.Load()
	if d.Service.LimitHeader == "" {
		return
	}
	values := answer.Values(d.Service.LimitHeader)
	if len(values) == 0 {
		server.limitInvalid.Store(false)
		if server.limit() > 0 || !server.answered.Swap(true) {
			server.send(limitMessage{serverlimit.Statement{SentAt: sentAt}})
		}
		return
	}
	perSecond, err := serverlimit.Parse(values[len(values)-1])
	if err != nil {
		s.badLimits.Inc(1)
		if !server.limitInvalid.Swap(true) {
			event.Log(s.config.Logger, event.LimitRefused, "backend_server", d.BackendServer.Name, "service", d.Service.Name, "error", err)
		}
		return
	}
	server.limitInvalid.Store(false)
	server.send(limitMessage{serverlimit.Statement{SentAt: sentAt, Named: true, PerSecond: perSecond}})
}

// limit returns the limit that the backend server names, in requests a second, or zero.
func (s *server) limit() float64 { return math.Float64frombits(s.limitBits.Load()) }

// publishLimit makes the limit readable without a message.
func (s *server) publishLimit(perSecond float64) {
	if s.limitBits.Swap(math.Float64bits(perSecond)) != math.Float64bits(perSecond) {
		s.limitGauge.Update(perSecond)
	}
}

// recordLimit records what an answer says about the limit.
func (t *task) recordLimit(now time.Time, s serverlimit.Statement) {
	before := t.limit.PerSecond()
	t.limit.Record(now, s)
	t.limitChanged(now, before)
}

// adoptLimit takes over the limit that the host of an ingress knows, if this daemon has had no answer yet.
func (t *task) adoptLimit(now time.Time, perSecond float64) {
	before := t.limit.PerSecond()
	t.limit.Adopt(now, perSecond)
	t.limitChanged(now, before)
}

// limitChanged applies a limit that was another one before, and logs where it begins and ends.
func (t *task) limitChanged(now time.Time, before float64) {
	perSecond := t.limit.PerSecond()
	if perSecond == before {
		return
	}
	t.limitRate(now)
	switch {
	case before == 0:
		t.log(event.ServerLimited, "per_second", perSecond)
	case perSecond == 0:
		t.log(event.LimitEnded)
	}
}
