package sidecar

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/detect"
)

// slotUse is what the time of a slot went to.
type slotUse string

// The uses. Whoever plans capacity reads their shares: what is not good is what a service needs
// slots for without serving anybody in time.
const (
	// useGood ended in a good answer within the route's target.
	useGood slotUse = "good"
	// useLate ended in a good answer after it.
	useLate slotUse = "late"
	// useFailed ended in an answer that says that the backend server failed, by itself or by
	// a call that it made.
	useFailed slotUse = "failed"
	// useLost ended with a broken connection or a spoilt answer.
	useLost slotUse = "lost"
	// useOverdue ended without an answer: at the deadline, or for a hedge that was faster.
	useOverdue slotUse = "overdue"
	// useCancelled ended because the caller went away or a hedge was not needed.
	useCancelled slotUse = "cancelled"
	// useReserved was kept for a request that was not sent.
	useReserved slotUse = "reserved"
)

func slotUses() []slotUse {
	return []slotUse{useGood, useLate, useFailed, useLost, useOverdue, useCancelled, useReserved}
}

// slotTime counts the milliseconds of a service's slots on this host by use.
type slotTime map[slotUse]tally.Counter

func newSlotTime(scope tally.Scope, service string) slotTime {
	counters := make(slotTime)
	for _, use := range slotUses() {
		counters[use] = scope.Tagged(map[string]string{"service": service, "use": string(use)}).Counter("sidecar_slot_ms")
	}
	return counters
}

// add counts the time of a slot; a service without counters counts nothing.
func (t slotTime) add(use slotUse, took time.Duration) {
	if counter, ok := t[use]; ok {
		counter.Inc(took.Milliseconds())
	}
}

// use says what the time of the slot went to.
func (s *slot) use() slotUse {
	switch {
	case s.started.IsZero():
		return useReserved
	case !s.isEvidence:
		return useCancelled
	case s.observation.Outcome == detect.OK && s.observation.PastTarget:
		return useLate
	case s.observation.Outcome == detect.OK:
		return useGood
	case s.observation.Outcome == detect.Error:
		return useFailed
	case s.observation.Outcome == detect.TimedOut || s.observation.Outcome == detect.Overdue:
		return useOverdue
	default:
		return useLost
	}
}
