package sidecar

import (
	"math"
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/result"
)

// size is the backend server's slots, fewer for a while after a return.
func (t *task) size(now time.Time) admission.Config {
	size := t.declared.size()
	if share := t.subject.TrafficShare(now); share > 0 {
		size.Slots = max(1, int(math.Ceil(float64(size.Slots)*share)))
	}
	return size
}

// release takes a slot back and gives it to those that wait. A probation request also
// shows whether the backend server has recovered.
func (t *task) release(now time.Time, m releaseMessage) {
	granted, expired := t.queue.Done(now, m.took)
	t.answerWaiting(now, granted, expired)
	if !m.probation {
		return
	}
	t.probationRuns = false
	if !m.isEvidence || !t.isEjected(now) {
		return
	}
	if t.subject.ObserveProbation(now, m.observation, m.others) {
		t.backInService("passed its trial")
	}
}

// recordSlow counts the stalled slots, and records for the suspicion that a request is slow or
// has ended.
func (t *task) recordSlow(now time.Time, m slowMessage) {
	if m.ended {
		t.queue.UnmarkStalled()
		t.suspicion.RecordSlowRequestEnd(now, m.began)
		return
	}
	t.queue.MarkStalled()
	t.suspicion.RecordSlowRequest(m.began)
}

// answerWaiting answers waiting requests: those that got a slot, and those whose deadline
// is too near to run.
func (t *task) answerWaiting(now time.Time, granted, expired []uint64) {
	for _, id := range granted {
		t.slotGiven(now)
		t.reply(id, grant{})
	}
	for _, id := range expired {
		t.reply(id, refused(result.DeadlineBeforeRun, 0))
	}
}

// expire refuses the waiting requests that waited long enough.
func (t *task) expire(now time.Time) {
	for _, id := range t.queue.Expire(now) {
		t.reply(id, refused(result.QueueTooSlow, t.queue.RetryAfter()))
	}
}

// cancel takes a request out of the queue and replies whether it was there.
func (t *task) cancel(m cancelMessage) {
	wasWaiting := t.queue.Cancel(m.request.ID)
	delete(t.waiting, m.request.ID)
	m.reply <- wasWaiting
}

// reply answers a waiting request, if it still waits.
func (t *task) reply(id uint64, g grant) {
	waiting, ok := t.waiting[id]
	if !ok {
		return
	}
	delete(t.waiting, id)
	waiting <- g
}
