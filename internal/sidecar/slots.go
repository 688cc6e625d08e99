package sidecar

import (
	"math"
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/result"
)

// size returns the capacity of the backend server, which is reduced for a while after it returns to
// service.
func (t *task) size(now time.Time) admission.Config {
	size := t.declared.size()
	if share := t.subject.TrafficShare(now); share > 0 {
		size.Slots = max(1, int(math.Ceil(float64(size.Slots)*share)))
	}
	return size
}

// release takes back a slot and grants it to waiting requests. The outcome of a probation request
// also shows whether the backend server has recovered.
func (t *task) release(now time.Time, m releaseMessage) {
	if m.took == 0 {
		t.suspicion.RecordNotSent(now)
	}
	granted, expired := t.queue.Done(now, m.took)
	t.answerWaiting(now, granted, expired)
	if !m.probation {
		return
	}
	t.probationInFlight = false
	if !m.isEvidence || !t.isEjected(now) {
		return
	}
	if t.subject.ObserveProbation(now, m.observation, m.others) {
		t.returnToService("passed probation")
	}
}

// recordSlow updates the number of stalled slots and the suspicion when a request becomes slow, or
// when a slow one ends.
func (t *task) recordSlow(now time.Time, m slowMessage) {
	if m.ended {
		t.queue.UnmarkStalled()
		t.suspicion.RecordSlowRequestEnd(now, m.began)
		return
	}
	t.queue.MarkStalled()
	t.suspicion.RecordSlowRequest(m.began)
}

// answerWaiting answers the waiting requests that were granted a slot and those whose deadline is
// too near to run.
func (t *task) answerWaiting(now time.Time, granted, expired []uint64) {
	for _, id := range granted {
		t.recordSlotGranted(now, "", admission.Attempt{})
		t.reply(id, grant{})
	}
	for _, id := range expired {
		t.refusedAt = now
		t.reply(id, refused(result.DeadlineBeforeRun, 0))
	}
}

// expire refuses the requests that have waited too long.
func (t *task) expire(now time.Time) {
	for _, id := range t.queue.Expire(now) {
		t.refusedAt = now
		t.reply(id, refused(result.QueueTooSlow, t.queue.RetryAfter()))
	}
}

// evacuate refuses the waiting requests, so that they run in other data centres.
func (t *task) evacuate() {
	for _, id := range t.queue.Clear() {
		t.reply(id, refused(result.Evacuated, 0))
	}
}

// cancel removes a request from the queue and replies whether it was queued.
func (t *task) cancel(m cancelMessage) {
	wasWaiting := t.queue.Cancel(m.request.ID)
	delete(t.waiting, m.request.ID)
	m.reply <- wasWaiting
}

// reply answers a request if it still waits.
func (t *task) reply(id uint64, g grant) {
	waiting, ok := t.waiting[id]
	if !ok {
		return
	}
	delete(t.waiting, id)
	waiting <- g
}
