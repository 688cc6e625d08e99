package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/test/harness"
)

// TestPlannedStopGivesUpNothing guards against a stopping daemon that takes requests which it gives up while they run:
// of its callers, who keep sending on open connections, and of another daemon. A second SIGTERM changes nothing.
func TestPlannedStopGivesUpNothing(t *testing.T) {
	const (
		work     = 2500 * time.Millisecond // of each request; those in flight when the stop begins end before it
		maxPause = 2 * time.Second         // so that requests are sent at any time of the stop
		callers  = 30                      // of each daemon
		stops    = 2
	)
	dataCentres := []string{"muenchen-nord", "rosenheim", "weilheim"}
	withServers := dataCentres[:2] // the daemon of the third sends all requests to the other two
	f := start(t, harness.Spec{
		DataCentres: dataCentres,
		HostsEach:   1,
		Services:    []harness.Service{{Name: "akten", Floor: 2, Servers: 4, Slots: 100, Queue: 100, Deadline: stopTimeout, DataCentres: withServers}},
		Settings:    "limits: {stop: 4s, unready: 2s}",
	})
	for number := range stops {
		slow := make([]*caller, 0, callers*len(f.Daemons))
		for i, d := range f.Daemons {
			for n := range callers {
				slow = append(slow, &caller{
					address: d.CallersAddress(), path: "/akten/x", workMillis: float64(work.Milliseconds()), maxPause: maxPause, firstNumber: n,
					prefix: fmt.Sprintf("s%d.c%d.%d", number, i, n), random: rand.New(rand.NewPCG(uint64(i), uint64(n))),
				})
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan []sample, 1)
		go func() { done <- runTogether(ctx, slow) }()
		time.Sleep(work + maxPause)
		stopTwice(t, f.Daemons[0])
		cancel()
		samples := <-done
		runs := runsOf(t, f, nil)
		checkResponses(t, samples, runs)
		checkNothingCut(t, samples, runs)
		restart(t, f.Daemons[0])
	}
}

// stopTwice sends SIGTERM, and again a second later, and waits until the daemon has ended.
func stopTwice(t *testing.T, d *harness.Daemon) {
	t.Helper()
	if err := d.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	stopAsPlanned(t, d)
}
