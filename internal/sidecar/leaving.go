package sidecar

import (
	"time"

	"github.com/tideliftd/tidelift/internal/event"
)

// selfDrainFor is how long a backend server's own word that it is leaving
// counts.
const selfDrainFor = 10 * time.Second

// isLeaving says whether the backend server takes no new work because it is
// leaving, by an operator's word, its own or the platform's list.
func (t *task) isLeaving(now time.Time) bool {
	return t.leaving || t.hostLeaving || now.Before(t.selfDrainUntil)
}

// applyHostList takes what the platform's list says of the host.
func (t *task) applyHostList(now time.Time, leaving bool) {
	before := t.isLeaving(now)
	t.hostLeaving = leaving
	switch after := t.isLeaving(now); {
	case after && !before:
		t.log(event.ServerLeaving, "why", "the platform's list")
	case before && !after:
		t.log(event.ServerBack, "why", "the platform's list")
	}
}

// selfDrain takes the backend server's own word. It counts for a while, since
// one that gets no work cannot take it back; then the next answer tells.
func (t *task) selfDrain(now time.Time) {
	if !t.isLeaving(now) {
		t.log(event.ServerLeaving, "why", "its own word")
	}
	t.selfDrainUntil = now.Add(selfDrainFor)
}

// drain takes an operator's word, which goes before the backend server's own.
func (t *task) drain(leaving bool) {
	t.leaving = leaving
	t.selfDrainUntil = time.Time{}
	e := event.ServerBack
	if leaving {
		e = event.ServerLeaving
	}
	t.log(e)
}
