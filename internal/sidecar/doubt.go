package sidecar

import (
	"maps"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/doubt"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/result"
)

const (
	// provenWithin is how old the last proof may be for requests that ask for one.
	// Source: a backend server gets some six requests a second, so that about half
	// have a proof that young.
	provenWithin = 150 * time.Millisecond
	// unprovenFor is how long a backend server without a new proof refuses requests
	// that ask for one, from the first that does. Source: where there are repeatable
	// requests one comes within it.
	unprovenFor = 500 * time.Millisecond
)

// admitDoubted says whether a doubted backend server takes the request: one that
// nobody else takes, or a repeatable one that finds out how it does.
func (t *task) admitDoubted(now time.Time, m offerMessage) *result.Error {
	if m.call.Insist {
		return nil
	}
	if !m.call.Once && t.doubt.MayProbe(now) || t.doubt.MayRisk(now) {
		return nil
	}
	t.turnedAway[m.call.Host] = true
	return refusal(result.Doubted, t.doubt.HeldFor(now))
}

// weigh takes an outcome for the doubt, beside how the others do.
func (t *task) weigh(now time.Time, saw detect.Observation, others detect.Reference) {
	weight := 0.0
	switch saw.Outcome {
	case detect.OK:
		if !saw.WasOverdue && !saw.PastTarget {
			t.noteGood(now)
			return
		}
		weight = doubt.Slow
	case detect.Refused, detect.Lost:
		weight = doubt.Broken
	case detect.Error:
		weight = doubt.FailedAmong(others.Failure)
	case detect.TimedOut, detect.Overdue:
		weight = doubt.Overdue
	}
	if weight == 0 {
		return // the others fail as much
	}
	if t.doubt.Bad(now, weight) {
		t.log(event.ServerDoubted, "outcome", saw.Outcome)
		t.turnAwayWaiting(now)
	}
}

// turnAwayWaiting refuses every waiting request, since they are better served
// elsewhere.
func (t *task) turnAwayWaiting(now time.Time) {
	for _, id := range t.queue.Clear() {
		t.reply(id, grant{err: refusal(result.Doubted, t.doubt.HeldFor(now))})
	}
}

// noteGood takes a good answer in good time.
func (t *task) noteGood(now time.Time) {
	if t.doubt.Good(now) {
		t.trust(now)
	}
}

// isUnproven says whether the last proof that the backend server is well is old. It
// is no reason to refuse for long: then nobody else would make a new one.
func (t *task) isUnproven(now time.Time) bool {
	if t.doubt.Doubted() || t.doubt.ProofAge(now) <= provenWithin {
		t.unproven = time.Time{}
		return false
	}
	if t.unproven.IsZero() {
		t.unproven = now
	}
	return now.Sub(t.unproven) < unprovenFor
}

// began takes it that a request was given a slot.
func (t *task) began(now time.Time) {
	t.doubt.Began(now)
	if t.doubt.Doubted() {
		t.doubt.Probe(now)
		t.log(event.ServerProbed, "good", t.doubt.GoodInARow())
	}
}

// noteSurvived ends the doubt if a probe that still runs shows enough.
func (t *task) noteSurvived(now time.Time) {
	if t.doubt.Survived(now) {
		t.trust(now)
	}
}

// trust ends the doubt, and an ejection that began meanwhile: the answers that
// end the one are proof enough for the other.
func (t *task) trust(now time.Time) {
	t.log(event.ServerTrusted)
	t.config.Peer.Trusted(slices.Collect(maps.Keys(t.turnedAway)), t.declared.BackendServer.Name)
	clear(t.turnedAway)
	if t.subject.State(now) != detect.Serving {
		t.subject.Restore()
		t.comeBack("answered well while it was doubted")
	}
}
