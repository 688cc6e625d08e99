package soak

import (
	"context"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/test/backendserver"
	"github.com/tideliftd/tidelift/test/harness"
)

// TestGarbledResponses guards against wrong or truncated responses, repeated runs, and daemons that end or fill the memory,
// while backend servers send anything in place of responses, callers read late and a daemon stops.
func TestGarbledResponses(t *testing.T) {
	for text := range strings.SplitSeq(*seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run("seed "+text, func(t *testing.T) { garbledResponses(t, seed) })
	}
}

func garbledResponses(t *testing.T, seed uint64) {
	const (
		length      = 8 * time.Second
		garbled     = 0.05  // of the responses
		memoryBound = 150.0 // MB
	)
	f := start(t, harness.Spec{
		DataCentres: []string{"muenchen-nord", "rosenheim", "weilheim"},
		HostsEach:   1,
		Services:    []harness.Service{{Name: "akten", Floor: 4, Servers: 6, Slots: 20, Queue: 40, Deadline: 5 * time.Second}},
		Settings:    "limits: {stop: 5s, unready: 1s}",
	})
	for _, b := range f.Backends {
		if err := b.SetMode(backendserver.Mode{Garble: garbled}); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	done := make(chan []sample, 1)
	go func() { done <- runCallers(ctx, f, seed, 0) }()
	time.Sleep(length / 4)
	stopped := f.Daemons[int(seed)%len(f.Daemons)]
	if err := stopped.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if !stopped.Wait(stopTimeout) {
		t.Fatalf("daemon %s did not stop in %s", stopped.Name, stopTimeout)
	}
	restart(t, stopped)
	checkResponses(t, <-done, runsOf(t, f, nil))
	checkDaemons(t, f, memoryBound, len(f.Daemons)+1)
}

// checkDaemons fails the test if a daemon uses more memory than the bound, in MB, or if they have started more often than
// the test has started them.
func checkDaemons(t *testing.T, f *harness.Fleet, memoryBound float64, starts int) {
	t.Helper()
	for _, d := range f.Daemons {
		if used, err := d.ResidentMB(); err != nil || used > memoryBound {
			t.Errorf("%s uses %.0f MB, %v; want at most %.0f", d.Name, used, err, memoryBound)
		}
	}
	events, err := f.Events()
	if err != nil {
		t.Fatal(err)
	}
	started := 0
	for _, e := range events {
		if e.Event == event.DaemonStarted.Number {
			started++
		}
	}
	if started != starts {
		t.Errorf("daemons started %d times, want %d", started, starts)
	}
}
