package sidecar

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/detect"
)

// TestSlotTimeIsCountedByUse guards against slot time counted under another use or service.
func TestSlotTimeIsCountedByUse(t *testing.T) {
	const took = 100 * time.Millisecond
	observed := func(o detect.Outcome, late bool) detect.Observation {
		return detect.Observation{Outcome: o, PastTarget: late}
	}
	uses := map[slotUse]*slot{
		useGood:      {isEvidence: true, observation: observed(detect.OK, false)},
		useLate:      {isEvidence: true, observation: observed(detect.OK, true)},
		useFailed:    {isEvidence: true, observation: observed(detect.Error, false)},
		useLost:      {isEvidence: true, observation: observed(detect.ConnectionLost, false)},
		useOverdue:   {isEvidence: true, observation: observed(detect.TimedOut, true)},
		useCancelled: {},
		useReserved:  {},
	}
	for use, s := range uses {
		t.Run(string(use), func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			s.server = &server{mailbox: make(chan any, 1), ended: make(chan struct{}), slotTime: newSlotTime(scope, "lookup")}
			s.granted = time.Now().Add(-took)
			if use != useReserved {
				s.started = s.granted
			}
			s.release()
			for _, c := range scope.Snapshot().Counters() {
				counted := c.Tags()["use"] == string(use) && c.Tags()["service"] == "lookup"
				if (c.Value() >= took.Milliseconds()) != counted {
					t.Errorf("%v counts %d ms", c.Tags(), c.Value())
				}
			}
		})
	}
}
