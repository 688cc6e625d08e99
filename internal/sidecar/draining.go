package sidecar

import (
	"time"

	"github.com/tideliftd/tidelift/internal/event"
)

// selfDrainFor is how long an answer that says that the backend server is draining counts. Not
// measured: then it gets a request again, whose answer says whether it still is.
const selfDrainFor = 10 * time.Second

// isDraining reports whether the backend server takes no new work because it is
// draining: by an operator, its own answer or the platform's list.
func (t *task) isDraining(now time.Time) bool {
	return t.draining || t.hostDraining || now.Before(t.selfDrainUntil)
}

// applyHostList records whether the platform's list has the host as draining.
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

// selfDrain records that the backend server's answer says that it is draining. That counts for
// selfDrainFor, since one that gets no work cannot take it back; then the next answer decides.
func (t *task) selfDrain(now time.Time) {
	if !t.isDraining(now) {
		t.log(event.ServerDraining, "why", "its own word")
	}
	t.selfDrainUntil = now.Add(selfDrainFor)
}

// drain sets whether the backend server is draining, for an operator. That goes before what its
// own answers say.
func (t *task) drain(draining bool) {
	t.draining = draining
	t.selfDrainUntil = time.Time{}
	e := event.ServerBack
	if draining {
		e = event.ServerDraining
	}
	t.log(e)
}
