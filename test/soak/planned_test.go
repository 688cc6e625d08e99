package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/wait"
	"github.com/tideliftd/tidelift/test/harness"
)

var hostsEach = flag.Int("hosts", 2, "hosts of each data centre in the soak of planned work")

// TestPlannedWorkCutsNothing guards against requests that are cut off, and accepted declarations that are lost or
// reverted, by overlapping stops, reloads and changes that the seed draws.
func TestPlannedWorkCutsNothing(t *testing.T) {
	for text := range strings.SplitSeq(*seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		t.Run("seed "+text, func(t *testing.T) { plannedWork(t, seed, stopLimits{}) })
		t.Run("short stops, seed "+text, func(t *testing.T) { plannedWork(t, seed, drawStopLimits(seed)) })
	}
}

// stopLimits are the limits of planned stops. If they are zero, the defaults apply.
type stopLimits struct {
	stop, unready time.Duration
	work          time.Duration // of slow requests, which end before the stop if they are in flight when it begins
}

func drawStopLimits(seed uint64) stopLimits {
	random := rand.New(rand.NewPCG(seed, 0))
	stop := 3*time.Second + time.Duration(random.Int64N(int64(3*time.Second)))
	return stopLimits{stop: stop, unready: time.Duration(random.Int64N(int64(stop / 2))), work: stop / 2}
}

func (l stopLimits) settings() string {
	if l.stop == 0 {
		return ""
	}
	return fmt.Sprintf("limits: {stop: %s, unready: %s}", l.stop, l.unready)
}

func plannedWork(t *testing.T, seed uint64, limits stopLimits) {
	const (
		length  = 12 * time.Second
		workers = 2
	)
	dataCentres := []string{"muenchen-nord", "rosenheim", "weilheim"}
	hosts := len(dataCentres) * *hostsEach
	f := start(t, harness.Spec{
		DataCentres: dataCentres,
		HostsEach:   *hostsEach,
		// The deadline is long, so that no request exceeds it on a busy machine.
		Services: []harness.Service{{Name: "akten", Floor: 2, Servers: hosts, Slots: 20, Queue: 40, Deadline: stopTimeout}},
		Settings: limits.settings(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	work := &plannedOperations{fleet: f, revision: 1}
	var workersEnded sync.WaitGroup
	for number := range workers {
		w := plannedWorker{plannedOperations: work, t: t, number: number, workers: workers, random: rand.New(rand.NewPCG(seed, uint64(number)))}
		workersEnded.Go(func() { w.run(ctx) })
	}
	samples := runCallers(ctx, f, seed, limits.work)
	workersEnded.Wait()
	work.changes.Wait()
	t.Logf("%d stops, %d signals, %d changes accepted", work.stops, work.signals, work.revision-1)
	if work.stops == 0 || work.revision == 1 {
		t.Error("no daemon was stopped or no change was accepted, so the test shows nothing")
	}
	runs := runsOf(t, f, nil)
	checkResponses(t, samples, runs)
	checkNothingCut(t, samples, runs)
	checkRevisions(t, f, work.revision)
}

// TestSIGHUPDuringPlannedStopIsIgnored guards against a daemon that is killed by SIGHUP during a planned stop, when
// an operator's tool reloads settings and stops daemons in turn.
func TestSIGHUPDuringPlannedStopIsIgnored(t *testing.T) {
	f := start(t, harness.Spec{
		DataCentres: []string{"rosenheim"},
		HostsEach:   1,
		Services:    []harness.Service{{Name: "akten", Floor: 1, Servers: 2, Slots: 20, Queue: 40}},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	slow := stream{urls: []string{f.URL(0, "akten", "/x")}, method: http.MethodPost, interval: 50 * time.Millisecond, workMillis: 700, prefix: "slow"}
	done := make(chan []sample, 1)
	go func() { done <- slow.run(ctx) }()
	time.Sleep(500 * time.Millisecond)
	d := f.Daemons[0]
	if err := d.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for !d.Wait(50 * time.Millisecond) {
		if err := d.Signal(syscall.SIGHUP); err != nil {
			t.Log(err) // the daemon has just ended
		}
	}
	cancel()
	for _, s := range <-done {
		if s.outcome != outcomeOK && s.outcome != outcomeNotRun && s.outcome != outcomeRefused {
			t.Errorf("%s was cut off: %s %s", s.key, s.outcome, s.err)
		}
	}
	events, err := f.Events()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(events, func(e harness.LogEvent) bool { return e.Event == event.DaemonStopped.Number }) {
		t.Error("the daemon did not log the end of its planned stop")
	}
}

// runCallers runs callers at every daemon until ctx ends and returns their samples. Some of them read large responses late,
// after they have sent their next request, and some send slow requests, unless slowWork is zero.
func runCallers(ctx context.Context, f *harness.Fleet, seed uint64, slowWork time.Duration) []sample {
	const (
		keptConnCallers = 4
		newConnCallers  = 2
		slowCallers     = 2
		slowMaxPause    = time.Second
		lateCallers     = 2
		maxLate         = 1500 * time.Millisecond // from sending a request to reading its response
		lateBytes       = 100_000                 // of a response: more than the caller's buffer
		lateBuffer      = 16 << 10
		newConnMaxPause = 40 * time.Millisecond // maximum pause in a fleet of fewDaemons
		fewDaemons      = 6
	)
	var callers []*caller
	for i, d := range f.Daemons {
		for n := range keptConnCallers + newConnCallers {
			c := &caller{address: d.CallersAddress(), path: "/akten/x", workMillis: 10, prefix: fmt.Sprintf("c%d.%d", i, n), random: rand.New(rand.NewPCG(seed, uint64(1000*(i+1)+n)))}
			c.newConnEach = n >= keptConnCallers
			c.maxPause = 10 * time.Millisecond << (2 * n) // 10 to 640 ms
			if c.newConnEach {
				c.maxPause = newConnMaxPause * time.Duration(max(1, len(f.Daemons)/fewDaemons)) // keeps the total load constant
			}
			callers = append(callers, c)
		}
		for n := range lateCallers {
			callers = append(callers, &caller{
				address: d.CallersAddress(), path: "/akten/x", workMillis: 10, maxPause: newConnMaxPause, firstNumber: n,
				maxLate: maxLate, ahead: n%2 == 0, bytes: lateBytes, receiveBuffer: lateBuffer,
				prefix: fmt.Sprintf("late%d.%d", i, n), random: rand.New(rand.NewPCG(seed, uint64(1000*(i+1)+800+n))),
			})
		}
		for n := range slowCallers {
			if slowWork == 0 {
				break
			}
			callers = append(callers, &caller{
				address: d.CallersAddress(), path: "/akten/x", workMillis: float64(slowWork.Milliseconds()), maxPause: slowMaxPause, firstNumber: n,
				prefix: fmt.Sprintf("slow%d.%d", i, n), random: rand.New(rand.NewPCG(seed, uint64(1000*(i+1)+500+n))),
			})
		}
	}
	return runTogether(ctx, callers)
}

// plannedOperations counts the operations on a fleet.
type plannedOperations struct {
	fleet   *harness.Fleet
	changes sync.WaitGroup // changes that are made concurrently with stops

	mu       sync.Mutex
	revision int64 // highest accepted revision
	stops    int
	signals  int
}

// plannedWorker performs one planned operation after another. It stops and signals only its own daemons.
type plannedWorker struct {
	*plannedOperations
	t       *testing.T
	number  int
	workers int
	random  *rand.Rand
}

func (w plannedWorker) run(ctx context.Context) {
	for n := 0; wait.For(ctx, time.Duration(w.random.IntN(300))*time.Millisecond); n++ {
		d := w.fleet.Daemons[w.number+w.workers*w.random.IntN(len(w.fleet.Daemons)/w.workers)]
		switch w.random.IntN(4) {
		case 0:
			w.stop(d)
		case 1:
			for range 1 + w.random.IntN(3) {
				w.signal(d)
			}
		case 2:
			w.change(n, w.random.IntN(len(w.fleet.Daemons)))
		case 3:
			daemon := w.random.IntN(len(w.fleet.Daemons))
			w.changes.Go(func() { w.change(n, daemon) })
			w.signal(d)
			w.stop(d)
		}
	}
}

// stop stops the daemon gracefully and restarts it.
func (w plannedWorker) stop(d *harness.Daemon) {
	if err := d.Signal(syscall.SIGTERM); err != nil {
		w.t.Error(err)
		return
	}
	for range w.random.IntN(3) { // as overlapping series of stops do
		if d.Wait(time.Duration(w.random.Int64N(int64(time.Second)))) {
			break
		}
		_ = d.Signal(syscall.SIGTERM) // fails if the daemon has just ended
	}
	if !d.Wait(stopTimeout) {
		w.t.Errorf("daemon %s did not stop in %s", d.Name, stopTimeout)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := d.Restart(ctx); err != nil {
		w.t.Error(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops++
}

// signal makes the daemon reload its settings.
func (w plannedWorker) signal(d *harness.Daemon) {
	if err := d.Signal(syscall.SIGHUP); err != nil {
		w.t.Error(err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signals++
}

// change applies a change through the daemon of that number. A change that is refused because the daemon is stopping
// or another change was first is not retried.
func (w plannedWorker) change(n, daemon int) {
	w.mu.Lock()
	base := w.revision
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	text := fmt.Sprintf("# change %d of worker %d\n%s", n, w.number, w.fleet.Declaration())
	accepted, err := w.fleet.Apply(ctx, daemon, text, base, fmt.Sprintf("%d-%d", w.number, n))
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = max(w.revision, accepted.Revision)
}

// checkRevisions fails the test if the revision is not in force at every daemon in time, or if a daemon ever replaced
// a revision by an older one.
func checkRevisions(t *testing.T, f *harness.Fleet, revision int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := f.WaitRevision(ctx, revision); err != nil {
		t.Error(err)
	}
	events, err := f.Events()
	if err != nil {
		t.Fatal(err)
	}
	inForce := make(map[string]int64) // by daemon
	for _, e := range events {
		switch e.Event {
		case event.DaemonStarted.Number:
			delete(inForce, e.Daemon)
		case event.DeclarationInForce.Number:
			if e.Revision < inForce[e.Daemon] {
				t.Errorf("%s went from revision %d to %d", e.Daemon, inForce[e.Daemon], e.Revision)
			}
			inForce[e.Daemon] = e.Revision
		}
	}
}
