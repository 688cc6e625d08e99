// Package soak runs real daemons under faults drawn from fixed seeds, and compares the callers' responses
// with the runs that the backend servers recorded.
//
// Its fleets run on loopback addresses and are started by test/harness. A seed determines the order and the
// targets of the faults but not the machine's timing, so that it makes a failure likely to recur, not certain.
//
// # Usage
//
//	go test -count=1 ./test/soak
//	go test -count=1 ./test/soak -run TestStorm -seeds 1,2,3
package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/wait"
	"github.com/tideliftd/tidelift/test/backendserver"
	"github.com/tideliftd/tidelift/test/harness"
)

const (
	// idempotent is the method of requests that may run more than once.
	idempotent = http.MethodGet
	// stopTimeout bounds one stop or start of a daemon.
	stopTimeout = 20 * time.Second
	// warmUp is the time in which the observers establish a latency baseline.
	warmUp = 5 * time.Second
)

// defaultSeeds are the seeds that CI runs.
const defaultSeeds = "1"

var (
	seeds    = flag.String("seeds", defaultSeeds, "the soaks' seeds, separated by commas")
	logs     = flag.String("logs", "", "a folder that keeps the daemons' logs")
	programs harness.Programs
)

func TestMain(m *testing.M) {
	flag.Parse()
	harness.RunTests(m, &programs)
}

func start(t *testing.T, spec harness.Spec) *harness.Fleet {
	t.Helper()
	spec.Programs = programs
	spec.Dir = *logs
	return harness.StartForTest(t, spec)
}

// TestStorm guards against wrong responses, repeated payments and broken floors while processes are killed and
// frozen, links fail in one direction, and responses are delayed and truncated.
func TestStorm(t *testing.T) {
	for text := range strings.SplitSeq(*seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run("seed "+text, func(t *testing.T) { storm(t, seed) })
	}
}

func storm(t *testing.T, seed uint64) {
	const (
		length   = 28 * time.Second // long enough for each worker to inject each kind of fault
		interval = 10 * time.Millisecond
		workers  = 3
	)
	service := func(name string) harness.Service {
		return harness.Service{Name: name, Floor: 4, Servers: 9, Slots: 20, Queue: 40, Deadline: time.Second, Detection: "swift"}
	}
	reads, payments := service("akten"), service("antraege")
	f := start(t, harness.Spec{
		DataCentres: []string{"muenchen-nord", "rosenheim", "weilheim"},
		HostsEach:   1,
		Proxied:     true,
		Services:    []harness.Service{reads, payments},
	})
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	streams := make([]stream, 0, 2*len(f.Daemons))
	for i := range f.Daemons {
		streams = append(streams,
			stream{urls: []string{f.URL(i, reads.Name, "/x")}, method: idempotent, interval: interval, workMillis: 10, spread: 0.5, prefix: fmt.Sprintf("r%d", i)},
			stream{urls: []string{f.URL(i, payments.Name, "/x")}, method: http.MethodPost, interval: interval, workMillis: 10, spread: 0.5, prefix: fmt.Sprintf("p%d", i)},
		)
	}
	faults := startInjector(ctx, f, seed, workers)
	samples := runAll(ctx, streams)
	faults.wait()
	for _, err := range faults.failed {
		t.Errorf("inject fault: %v", err)
	}
	t.Logf("faults: %v", faults.counts)
	checkResponses(t, samples, runsOf(t, f, faults.lostLedgers))
	checkFloor(t, f, reads)
	checkFloor(t, f, payments)
}

// TestFloorHoldsWhereDataCentresDisagree guards against ejections below the floor when four of six backend servers
// stall, a daemon is killed and lost control responses give each data centre a different view.
func TestFloorHoldsWhereDataCentresDisagree(t *testing.T) {
	const (
		length    = 18 * time.Second
		unhealthy = 4
	)
	lookup := harness.Service{Name: "lookup", Floor: 4, Servers: 6, Slots: 60, Queue: 60, Deadline: 1500 * time.Millisecond, Detection: "swift"}
	f := start(t, harness.Spec{
		DataCentres: []string{"angyalfold", "csepel", "obuda"},
		HostsEach:   1,
		Proxied:     true,
		Services:    []harness.Service{lookup},
	})
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	streams := make([]stream, 0, len(f.Daemons))
	for i := range f.Daemons {
		streams = append(streams, stream{
			urls: []string{f.URL(i, lookup.Name, "/x")}, method: idempotent, interval: time.Second / 80, workMillis: 25, spread: 0.4, prefix: fmt.Sprintf("d%d", i),
		})
	}
	injected := make(chan error, 1)
	go func() { injected <- makeViewsDisagree(ctx, f, unhealthy) }()
	samples := runAll(ctx, streams)
	if err := <-injected; err != nil {
		t.Fatal(err)
	}
	checkResponses(t, samples, runsOf(t, f, nil))
	if checkFloor(t, f, lookup) == 0 {
		t.Error("no backend server was ejected, so the test shows nothing")
	}
}

// makeViewsDisagree stalls one backend server after another, half a second apart, drops the responses of control calls
// for a few seconds, and restarts a daemon.
func makeViewsDisagree(ctx context.Context, f *harness.Fleet, unhealthy int) error {
	wait.For(ctx, warmUp)
	for _, b := range f.Backends[:unhealthy] {
		if err := b.SetMode(backendserver.Mode{Stall: 1}); err != nil {
			return err
		}
		wait.For(ctx, 500*time.Millisecond)
	}
	links := make([]string, 0, len(f.Daemons))
	for i, d := range f.Daemons {
		links = append(links, harness.ControlLink(f.Spec.DataCentres[(i+1)%len(f.Daemons)], d.Name))
	}
	for _, link := range links {
		if err := f.Faults.Cut(link, harness.Responses); err != nil {
			return err
		}
	}
	wait.For(ctx, 4*time.Second)
	for _, link := range links {
		if err := f.Faults.Heal(link); err != nil {
			return err
		}
	}
	f.Daemons[0].Kill()
	starting, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return f.Daemons[0].Restart(starting)
}

// TestDaemonsAreReplacedWithoutThePlatform guards against wrong responses while each daemon is restarted in turn
// under load, with the platform available and then unavailable.
func TestDaemonsAreReplacedWithoutThePlatform(t *testing.T) {
	f := start(t, harness.Spec{
		DataCentres: []string{"muenchen-nord", "muenchen-sued", "rosenheim", "weilheim"},
		HostsEach:   1,
		Services: []harness.Service{
			{Name: "akten", Floor: 6, Servers: 9},
			{Name: "antraege", Floor: 3, Servers: 4},
		},
	})
	replaceAll(t, f, "with")
	f.Platform.SetOutage(true)
	replaceAll(t, f, "without")
	f.Platform.SetOutage(false)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if _, err := f.Apply(ctx, 0, "# changed\n"+f.Declaration(), 1, "after the outage"); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitRevision(ctx, 2); err != nil {
		t.Fatal(err)
	}
}

// replaceAll restarts every daemon in turn under load.
func replaceAll(t *testing.T, f *harness.Fleet, prefix string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := stream{method: idempotent, interval: 5 * time.Millisecond, workMillis: 10, prefix: prefix}
	for daemon := range f.Daemons {
		load.urls = append(load.urls, f.URL(daemon, "akten", "/x"))
	}
	done := make(chan []sample, 1)
	go func() { done <- load.run(ctx) }()
	for _, d := range f.Daemons {
		stopAsPlanned(t, d)
		restart(t, d)
		time.Sleep(500 * time.Millisecond)
	}
	cancel()
	checkResponses(t, <-done, runsOf(t, f, nil))
}

// stopAsPlanned stops a daemon gracefully and waits until it has ended.
func stopAsPlanned(t *testing.T, d *harness.Daemon) {
	t.Helper()
	if err := d.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if !d.Wait(stopTimeout) {
		t.Fatalf("daemon %s did not stop in %s", d.Name, stopTimeout)
	}
}

// restart starts a stopped daemon, which has lost all state in memory.
func restart(t *testing.T, d *harness.Daemon) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := d.Restart(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestPlannedStopsCutNothing guards against a planned stop that closes an accepted connection without a response.
// Connections that are refused are harmless.
func TestPlannedStopsCutNothing(t *testing.T) {
	const stops = 8
	f := start(t, harness.Spec{
		DataCentres: []string{"muenchen-nord", "rosenheim"},
		HostsEach:   1,
		Services:    []harness.Service{{Name: "akten", Floor: 2, Servers: 4, Slots: 100, Queue: 100}},
	})
	for number := range stops {
		samples := stopAmongCallers(t, f, fmt.Sprintf("s%d", number))
		runs := runsOf(t, f, nil)
		checkResponses(t, samples, runs)
		checkNothingCut(t, samples, runs)
	}
}

// stopAmongCallers stops the first daemon while callers open connections to it, restarts it and returns the
// callers' samples.
func stopAmongCallers(t *testing.T, f *harness.Fleet, prefix string) []sample {
	t.Helper()
	const (
		callers = 50
		before  = 200 * time.Millisecond // how long the callers run before the stop begins
	)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	streams := make([]stream, 0, callers)
	for caller := range callers {
		streams = append(streams, stream{
			urls: []string{f.URL(0, "akten", "/x")}, method: idempotent, interval: 20 * time.Millisecond,
			workMillis: 1, prefix: fmt.Sprintf("%s.%d", prefix, caller), newConnEach: true,
		})
	}
	done := make(chan []sample, 1)
	go func() { done <- runAll(ctx, streams) }()
	time.Sleep(before)
	stopAsPlanned(t, f.Daemons[0])
	cancel()
	samples := <-done
	restart(t, f.Daemons[0])
	return samples
}
