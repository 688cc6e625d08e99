package sidecar

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/floor"
	"github.com/tideliftd/tidelift/internal/result"
)

// TestFullBackendServerRefusesLeasesOfSlowOnes guards against a full backend server that lets a slow one stay ejected.
func TestFullBackendServerRefusesLeasesOfSlowOnes(t *testing.T) {
	now := time.Now()
	task := newTestTask()
	answer := func(at time.Time, slow bool) floor.Refusal {
		return task.answerLeaseRequest(at, floor.Request{Requester: "csepel/lookup-2", Number: 1, Slow: slow}).Refusal
	}
	if got := answer(now, true); got != floor.Granted {
		t.Fatalf("with free slots: %q, want a lease", got)
	}
	slots := task.declared.BackendServer.Slots
	for id := range slots + 1 {
		m := offerMessage{request: admission.Request{ID: uint64(id + 1), Deadline: now.Add(time.Millisecond)}, reply: make(chan grant, 1)}
		task.offer(now, &m)
		if id < slots {
			continue
		}
		if g := <-m.reply; g.err == nil || g.err.Code.Number != result.QueueTooSlow.Number {
			t.Fatalf("without a free slot: %v, want %v", g.err, result.QueueTooSlow)
		}
	}
	if got := answer(now, true); got != floor.RefusedBusy {
		t.Errorf("full, to a slow one: %q, want %q", got, floor.RefusedBusy)
	}
	if got := answer(now, false); got != floor.Granted {
		t.Errorf("full, to one that fails: %q, want a lease", got)
	}
	if got := answer(now.Add(busyFor), true); got != floor.Granted {
		t.Errorf("full %s ago, to a slow one: %q, want a lease", busyFor, got)
	}
}
