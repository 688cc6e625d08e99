package sidecar

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/detect"
)

// slotUse is what the time of a slot was used for.
type slotUse string

// Uses of slot time, as shown in metrics. All time but useGood is capacity that a service needs
// without answering a request in time.
const (
	// useGood ended with a successful answer within the route's latency target.
	useGood slotUse = "good"
	// useLate ended with a successful answer after the latency target.
	useLate slotUse = "late"
	// useFailed ended with an answer that reports a failure of the backend server or of a call that
	// it made.
	useFailed slotUse = "failed"
	// useLost ended with a broken connection or an invalid answer.
	useLost slotUse = "lost"
	// useOverdue ended without an answer: at the deadline, or because a hedge was faster.
	useOverdue slotUse = "overdue"
	// useCancelled ended because the caller disconnected or a hedge was not needed.
	useCancelled slotUse = "cancelled"
	// useReserved was held for a request that was not sent.
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

// use returns what the time of the slot was used for.
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
