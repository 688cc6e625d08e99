package sidecar

import (
	"log/slog"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
)

// newTestTask returns the task of a backend server, without a goroutine that runs it.
func newTestTask() *task {
	placement := &fleet.Placement{
		Host:          fleet.Host{Name: "csepel-1", DataCentre: "csepel"},
		Service:       &fleet.Service{Name: "lookup", Floor: 1, Detection: fleet.DetectionSwift},
		BackendServer: fleet.BackendServer{Name: "csepel/lookup-1", Slots: 4, Queue: 8},
	}
	config := Config{
		Logger: slog.New(slog.DiscardHandler),
		Peer:   Peer{ClearSuspicion: func([]string, string) {}},
	}
	return newTask(config, &server{}, &declared{Placement: placement, rules: detect.Swift()})
}

// TestSharedFailuresBeginNoSuspicion guards against suspecting a backend server for errors that all
// others of its service return too, as when a service that they call is down.
func TestSharedFailuresBeginNoSuspicion(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name          string
		othersFailing float64
		want          bool
	}{
		{"the others are healthy", 0.01, true},
		{"half of the others' answers fail", 0.5, false},
		{"all of the others' answers fail", 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			task := newTestTask()
			others := detect.Baseline{Failure: test.othersFailing, TypicalLatency: 100 * time.Millisecond}
			for range 20 {
				task.recordSuspicion(now, detect.Observation{Outcome: detect.Error}, others)
			}
			if task.suspicion.Suspected() != test.want {
				t.Fatalf("suspected %t, want %t", task.suspicion.Suspected(), test.want)
			}
		})
	}
}

// TestBrokenConnectionsAlwaysBeginSuspicion guards against excusing broken connections, which a
// called service cannot cause, because the others fail too.
func TestBrokenConnectionsAlwaysBeginSuspicion(t *testing.T) {
	task := newTestTask()
	task.recordSuspicion(time.Now(), detect.Observation{Outcome: detect.ConnectionLost}, detect.Baseline{Failure: 1})
	if !task.suspicion.Suspected() {
		t.Fatal("a broken connection did not begin a suspicion")
	}
}

// TestProbeThatIsNotSentIsFollowedByAnother guards against a suspicion that lasts because requests that
// were granted a slot but never sent count as probes.
func TestProbeThatIsNotSentIsFollowedByAnother(t *testing.T) {
	task := newTestTask()
	now := time.Now()
	task.recordSuspicion(now, detect.Observation{Outcome: detect.ConnectionLost}, detect.Baseline{})
	for id := uint64(1); task.suspicion.Suspected(); id += 2 {
		now = now.Add(5 * time.Second)
		if g := offer(task, now, id, hop.Call{}); g.err != nil {
			t.Fatalf("probe refused: %v", g.err)
		}
		task.release(now, releaseMessage{})
		if g := offer(task, now, id+1, hop.Call{}); g.err != nil {
			t.Fatalf("probe refused after one that was not sent: %v", g.err)
		}
		now = now.Add(100 * time.Millisecond)
		task.recordSuspicion(now, detect.Observation{Outcome: detect.OK, Latency: 100 * time.Millisecond}, detect.Baseline{})
		task.release(now, releaseMessage{took: 100 * time.Millisecond})
		const most = 7
		if id > most {
			t.Fatal("the suspicion has not ended after three good probes")
		}
	}
}
