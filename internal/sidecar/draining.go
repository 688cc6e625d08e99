package sidecar

import (
	"time"

	"github.com/tideliftd/tidelift/internal/event"
)

// selfDrainFor is how long a backend server's own word that it is draining
// counts.
const selfDrainFor = 10 * time.Second

// isDraining says whether the backend server takes no new work because it is
// draining, by an operator's word, its own or the platform's list.
func (t *task) isDraining(now time.Time) bool {
	return t.draining || t.hostDraining || now.Before(t.selfDrainUntil)
}

// applyHostList takes what the platform's list says of the host.
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

// selfDrain takes the backend server's own word. It counts for a while, since
// one that gets no work cannot take it back; then the next answer tells.
func (t *task) selfDrain(now time.Time) {
	if !t.isDraining(now) {
		t.log(event.ServerDraining, "why", "its own word")
	}
	t.selfDrainUntil = now.Add(selfDrainFor)
}

// drain takes an operator's word, which goes before the backend server's own.
func (t *task) drain(draining bool) {
	t.draining = draining
	t.selfDrainUntil = time.Time{}
	e := event.ServerBack
	if draining {
		e = event.ServerDraining
	}
	t.log(e)
}
