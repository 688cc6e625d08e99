package sidecar

import (
	"math"
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

// offer decides on one request: first whether the backend server takes work at
// all, then whether there is a slot.
func (t *task) offer(now time.Time, m offerMessage) {
	probation, refused := t.admit(now, m)
	if refused != nil {
		m.reply <- grant{err: refused}
		return
	}
	if m.call.RefuseIfHanging && t.suspicion.Hanging(now) {
		m.reply <- grant{err: result.New(result.Unproven)}
		return
	}
	if m.call.Retry && !t.config.Retries.MayRun(now, t.declared.Service.Name) {
		m.reply <- grant{err: result.New(result.RetryLimit)}
		return
	}
	t.queue.Resize(t.size(now))
	if m.call.RefuseIfBusy && !t.queue.HasSlot() {
		m.reply <- grant{err: refusal(result.Busy, t.queue.RetryAfter())}
		return
	}
	t.place(now, m, probation)
}

// place gives the request a slot or a place in the queue, or refuses it for want
// of one.
func (t *task) place(now time.Time, m offerMessage, probation bool) {
	decision := t.queue.Offer(now, m.request)
	if decision.Evicted != 0 {
		t.reply(decision.Evicted, grant{err: refusal(result.PlaceLost, t.queue.RetryAfter())})
	}
	switch decision.Verdict {
	case admission.Granted:
		t.trying = t.trying || probation
		t.began(now)
		m.reply <- grant{probation: probation}
	case admission.Queued:
		t.waiting[m.request.ID] = m.reply
	case admission.RefusedFull:
		m.reply <- grant{err: refusal(result.QueueFull, decision.RetryAfter)}
	case admission.RefusedLate:
		m.reply <- grant{err: refusal(result.QueueTooSlow, decision.RetryAfter)}
	case admission.RefusedShare:
		m.reply <- grant{err: refusal(result.CustomerShare, decision.RetryAfter)}
	}
}

// admit says whether the backend server takes the request, and whether as a
// probation.
func (t *task) admit(now time.Time, m offerMessage) (probation bool, refused *result.Error) {
	if t.isDraining(now) {
		return false, result.New(result.Draining)
	}
	t.noteSurvived(now)
	if t.suspicion.Suspected() {
		return false, t.admitSuspected(now, m)
	}
	if !t.isEjected(now) {
		return false, nil
	}
	if t.subject.State(now) == detect.Ejected {
		return false, refusal(result.Ejected, retryafter.Ejected(t.subject.EjectedFor(now)))
	}
	if m.call.NonIdempotent || t.trying {
		return false, refusal(result.Ejected, retryafter.Probation)
	}
	return true, nil
}

// size is the backend server's slots, fewer for a while after a return.
func (t *task) size(now time.Time) admission.Config {
	size := t.declared.size()
	if share := t.subject.Share(now); share > 0 {
		size.Slots = max(1, int(math.Ceil(float64(size.Slots)*share)))
	}
	return size
}

// release takes a slot back and gives it to those that wait. A probation request also
// shows whether the backend server has recovered.
func (t *task) release(now time.Time, m releaseMessage) {
	granted, late := t.queue.Done(now, m.took)
	t.settle(now, granted, late)
	if !m.probation {
		return
	}
	t.trying = false
	if !m.seen || !t.isEjected(now) {
		return
	}
	if t.subject.Try(now, m.saw, m.others) {
		t.comeBack("passed its trial")
	}
}

// noteSlow counts the slots of which nobody knows when they come free, and takes it that
// the backend server may hang.
func (t *task) noteSlow(now time.Time, m slowMessage) {
	if m.ended {
		t.queue.Unstalled()
		t.suspicion.LateEnded(now, m.began)
		return
	}
	t.queue.Stalled()
	t.suspicion.Late(m.began)
}

// settle answers waiting requests: those that got a slot, and those whose deadline
// is too near to run.
func (t *task) settle(now time.Time, granted, late []uint64) {
	for _, id := range granted {
		t.began(now)
		t.reply(id, grant{})
	}
	for _, id := range late {
		t.reply(id, grant{err: result.New(result.DeadlineBeforeRun)})
	}
}

// expire refuses the waiting requests that waited long enough.
func (t *task) expire(now time.Time) {
	for _, id := range t.queue.Expire(now) {
		t.reply(id, grant{err: refusal(result.QueueTooSlow, t.queue.RetryAfter())})
	}
}

// cancel takes a request out of the queue and answers whether it was there.
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

func refusal(code result.Code, after time.Duration) *result.Error {
	return result.New(code).WithRetryAfter(after)
}
