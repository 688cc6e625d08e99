package sidecar

import (
	"net/http"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
)

// selfDrainDuration is how long an answer that reports draining is valid. Afterwards the backend
// server gets a request again, and the next answer shows whether it still drains.
const selfDrainDuration = 10 * time.Second

// recordDraining records whether the head of an answer, whatever its status, says that the backend server is draining.
func (s *Sidecar) recordDraining(server *server, answer http.Header) {
	d := server.declared.Load()
	if answer.Get(d.Service.DrainingHeader) == "" {
		return
	}
	server.send(selfDrainMessage{})
	if s.config.OnLeaving != nil && !server.leaving.Swap(true) {
		go s.config.OnLeaving(d.BackendServer.Name)
	}
}

// isDraining reports whether the backend server takes no new work because it is draining: set by an
// operator, by its own answer or by the platform's host list.
func (t *task) isDraining(now time.Time) bool {
	return t.draining || t.hostDraining || now.Before(t.selfDrainUntil)
}

// applyHostList records whether the platform's host list marks the host as draining.
func (t *task) applyHostList(now time.Time, draining bool) {
	before := t.isDraining(now)
	t.hostDraining = draining
	switch after := t.isDraining(now); {
	case after && !before:
		t.log(event.ServerDraining, "why", "the platform's list")
	case before && !after:
		t.log(event.ServerBack, "why", "the platform's list")
	}
}

// selfDrain records that an answer of the backend server reports draining. The state expires after
// selfDrainDuration, because a backend server without work cannot revoke it.
func (t *task) selfDrain(now time.Time) {
	if !t.isDraining(now) {
		t.log(event.ServerDraining, "why", "reported by the backend server")
	}
	t.selfDrainUntil = now.Add(selfDrainDuration)
}

// drain sets whether the backend server is draining, on behalf of an operator. It overrides what
// the backend server's own answers have reported.
func (t *task) drain(draining bool) {
	t.draining = draining
	t.selfDrainUntil = time.Time{}
	e := event.ServerBack
	if draining {
		e = event.ServerDraining
	}
	t.log(e)
}
