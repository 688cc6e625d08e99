package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/wait"
	"github.com/tideliftd/tidelift/test/backendserver"
	"github.com/tideliftd/tidelift/test/harness"
)

const (
	// freezeFor is longer than the services' deadline of 1 s and the lifetime of a reservation.
	freezeFor = 1500 * time.Millisecond
	// delayMillis is longer than the deadline, so that a delayed response exceeds it.
	delayMillis = 1200
	// responseBytes is enough for a few dozen responses before the connection is closed.
	responseBytes = 5000
)

// injector injects faults with several concurrent workers. Each worker has its own targets.
type injector struct {
	fleet   *harness.Fleet
	workers int
	ended   sync.WaitGroup

	mu          sync.Mutex
	counts      map[string]int         // injected faults by kind
	failed      []error                // errors of faults that could not be injected
	lostLedgers []backendserver.Ledger // ledgers of killed backend servers
}

// worker injects one fault after another.
type worker struct {
	*injector
	number int
	random *rand.Rand
}

// startInjector starts the workers, which inject faults after a delay of 2 s until ctx ends.
func startInjector(ctx context.Context, f *harness.Fleet, seed uint64, workers int) *injector {
	h := &injector{fleet: f, workers: workers, counts: make(map[string]int)}
	for number := range workers {
		w := worker{injector: h, number: number, random: rand.New(rand.NewPCG(seed, uint64(number)))}
		h.ended.Go(func() { w.run(ctx) })
	}
	return h
}

func (h *injector) wait() { h.ended.Wait() }

func (w worker) run(ctx context.Context) {
	kinds := []struct {
		name string
		do   func() error
	}{
		{"freeze-daemon", w.freezeDaemon},
		{"kill-daemon", w.killDaemon},
		{"freeze-backend", w.freezeBackend},
		{"cut-answers", w.cut(harness.Responses)},
		{"cut-requests", w.cut(harness.Requests)},
		{"limit-answers", w.limitAnswers},
		{"delay-answers", w.delayAnswers},
		{"kill-backend", w.killBackend},
	}
	w.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	wait.For(ctx, 2*time.Second)
	for n := 0; ctx.Err() == nil; n++ {
		kind := kinds[n%len(kinds)]
		w.record(kind.name, kind.do())
		wait.For(ctx, 300*time.Millisecond)
	}
}

// record counts a fault, or keeps the error if it could not be injected.
func (w worker) record(kind string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed = append(w.failed, errors.Wrap(err, kind))
		return
	}
	w.counts[kind]++
}

// ownIndex returns a random index below count that only this worker uses.
func (w worker) ownIndex(count int) int {
	return w.number + w.workers*w.random.IntN((count-w.number+w.workers-1)/w.workers)
}

func (w worker) daemon() *harness.Daemon { return w.fleet.Daemons[w.ownIndex(len(w.fleet.Daemons))] }

func (w worker) backend() *harness.Backend {
	return w.fleet.Backends[w.ownIndex(len(w.fleet.Backends))]
}

func (w worker) freezeDaemon() error {
	d := w.daemon()
	return freeze(d.Suspend, d.Resume)
}

func (w worker) freezeBackend() error {
	b := w.backend()
	return freeze(b.Suspend, b.Resume)
}

func freeze(stop, resume func() error) error {
	if err := stop(); err != nil {
		return err
	}
	time.Sleep(freezeFor)
	return resume()
}

func (w worker) killDaemon() error {
	d := w.daemon()
	d.Kill()
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return d.Restart(ctx)
}

// killBackend kills and restarts a backend server. It closes the backend server's link before it reads the
// ledger, so that nothing is run between the reading and the kill.
func (w worker) killBackend() error {
	b := w.backend()
	w.fleet.Faults.Close(harness.BackendLink(b.Name))
	time.Sleep(100 * time.Millisecond)
	kept, err := b.Ledger()
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.lostLedgers = append(w.lostLedgers, kept)
	w.mu.Unlock()
	b.Kill()
	if err := b.Start(); err != nil {
		return err
	}
	return w.fleet.Faults.Open(harness.BackendLink(b.Name))
}

func (w worker) cut(stream harness.Direction) func() error {
	return func() error {
		return w.onLink(func(link string) error { return w.fleet.Faults.Cut(link, stream) }, time.Second)
	}
}

func (w worker) limitAnswers() error {
	return w.onLink(func(link string) error { return w.fleet.Faults.LimitData(link, harness.Responses, responseBytes) }, time.Second)
}

func (w worker) delayAnswers() error {
	return w.onLink(func(link string) error { return w.fleet.Faults.Delay(link, harness.Responses, delayMillis) }, 1500*time.Millisecond)
}

// onLink injects a fault into the link of a backend server, or into one between two data centres, and
// removes it after length.
func (w worker) onLink(do func(link string) error, length time.Duration) error {
	link := harness.BackendLink(w.backend().Name)
	if w.random.IntN(2) == 0 {
		to := w.daemon()
		from := w.fleet.Daemons[w.random.IntN(len(w.fleet.Daemons))]
		if from.DataCentre != to.DataCentre {
			link = harness.PeerLink(from.DataCentre, to.Name)
		}
	}
	if err := do(link); err != nil {
		return err
	}
	time.Sleep(length)
	return w.fleet.Faults.Heal(link)
}
