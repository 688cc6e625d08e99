// Package sidecar is the part of a daemon that sends work to the backend
// servers of its own host. No other process of the fleet sends them any.
//
// That makes slots, the queue, draining, ejecting, and whether a request
// was run facts of one process. One task for each backend server owns them and
// talks by messages. What it does is in files by theme:
//
//	sidecar.go     starts, changes and ends the tasks
//	do.go          runs a request: slot, quarantine, sending, evidence
//	handler.go     serves the requests of other daemons
//	exchange.go    sends the request and checks the answer
//	reservation.go keeps a slot for a request that must not run twice
//	server.go      is the handle of the task for everybody else
//	declared.go    is what the declaration says of the backend server
//	acquire.go     waits for a slot
//	slot.go        observes the request that has one
//	task.go        handles the messages
//	admit.go       decides on a request, by internal/admission
//	slots.go       gives and queues slots
//	draining.go    takes no new work while the backend server is draining
//	suspicion.go   passes a backend server over at the first sign of failing
//	eject.go       takes a sick one out of service, if the floor allows it
//	lease.go       asks others for leases to keep serving, and gives its own
//	report.go      describes the backend server to operators
//	runs.go        counts and remembers what is sent, and keeps room for what retries call
//	ends.go        finds out which requests a backend server ran when it ended
//	usage.go       counts what the time of slots goes to
//
// # Usage
//
//	s, cleanUp := sidecar.New(sidecar.Config{Host: "csepel-1", Logger: logger, Scope: scope, Peer: peer})
//	defer cleanUp()
//	s.Reconfigure(index)
//	answer, err := s.Do(ctx, call, request) // from the ingress of the same daemon
//	http.Serve(listener, s.Handler())       // from other daemons
//
// An error of Do is a *result.Error. One whose code says RanNo is proof that
// the backend server was sent nothing and will be sent nothing.
package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/metric"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/runs"
)

const (
	// connectTimeout bounds the opening of a connection to a backend server on the same host.
	// Not measured: one is made or refused within microseconds, but for a full accept queue.
	connectTimeout = 500 * time.Millisecond
	// unacknowledged is how long bytes to a backend server may stay without an acknowledgement
	// before the connection counts as lost. Not measured: loopback acknowledges at once, so that
	// only what stands still itself takes this long.
	unacknowledged = 5 * time.Second
)

// Config says which host's backend servers the sidecar serves.
type Config struct {
	// Host is the daemon's name.
	Host string
	// Off are mechanisms that are switched off.
	Off experiment.Off
	// Logger receives numbered events.
	Logger *slog.Logger
	// Scope receives the metrics.
	Scope tally.Scope
	// OnAnswer is called for each answer of a backend server of this host, with whether it is
	// good or says that it failed; nil if nobody needs that.
	OnAnswer func(good bool)
	// Runs learns what the backend servers of this host run; nil keeps it to the sidecar.
	Runs *runs.Table
	// Retries is the host's budgets of retries; nil allows those that call nothing.
	Retries *retry.Budgets
	// BorrowRetry takes a retry of a request to the service from another host, for a call to be made
	// soon; nil if others are not asked.
	BorrowRetry func(ctx context.Context, service string) bool
	// Quarantine knows which requests no backend server is to be sent; nil if that is not kept.
	Quarantine *quarantinesync.Syncer
	// Peer carries the calls to other backend servers' sidecars.
	Peer Peer
}

// Sidecar sends work to the backend servers of one host.
type Sidecar struct {
	config       Config
	refused      metric.Reasons
	connects     tally.Counter
	ends         tally.Counter // runs that ended with their backend server
	nextID       atomic.Uint64
	stopping     atomic.Bool
	reservations *reservations

	mu      sync.Mutex // serialises Reconfigure and the end
	servers atomic.Pointer[map[string]*server]
	headers atomic.Pointer[headers]
}

// New returns a sidecar without backend servers, and a function that ends its
// tasks.
func New(config Config) (*Sidecar, func()) {
	if config.Runs == nil {
		config.Runs = runs.New()
	}
	if config.Retries == nil {
		config.Retries = retry.NewBudgets(retry.Config{StartedAt: time.Now()})
	}
	s := &Sidecar{
		config:       config,
		refused:      metric.NewReasons(config.Scope, "sidecar_refusals"),
		connects:     config.Scope.Counter("sidecar_connects"),
		ends:         config.Scope.Counter("sidecar_runs_ended"),
		reservations: newReservations(),
	}
	s.servers.Store(&map[string]*server{})
	s.headers.Store(&headers{})
	return s, s.end
}

func (s *Sidecar) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range *s.servers.Load() {
		server.end()
	}
	s.servers.Store(&map[string]*server{})
}

// Reconfigure starts, changes and ends the tasks of backend servers as the
// declaration says.
func (s *Sidecar) Reconfigure(index *fleet.Index) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headers.Store(&headers{Callers: index.Declaration.Callers, Answers: index.Declaration.Answers})
	old := *s.servers.Load()
	next := make(map[string]*server, len(old))
	for _, placement := range index.OnHost(s.config.Host) {
		name := placement.BackendServer.Name
		declared := newDeclared(placement, index)
		if server, ok := old[name]; ok {
			server.reconfigure(declared)
			next[name] = server
			continue
		}
		next[name] = newServer(s.config, declared, s.connects)
	}
	s.servers.Store(&next)
	for name, server := range old {
		if _, ok := next[name]; !ok {
			server.end()
		}
	}
}

// Stop refuses new work from now on. What runs or waits is finished.
func (s *Sidecar) Stop() { s.stopping.Store(true) }

// Drain sets whether a backend server is draining. A draining one finishes what
// it runs and gets nothing new.
func (s *Sidecar) Drain(name string, draining bool) error {
	server, err := s.server(name)
	if err != nil {
		return err
	}
	server.send(drainMessage{draining: draining})
	return nil
}

// HostDraining records whether the platform's list has the host as draining.
func (s *Sidecar) HostDraining(draining bool) {
	for _, server := range *s.servers.Load() {
		server.send(hostListMessage{draining: draining})
	}
}

// Report returns the state of a backend server of this host.
func (s *Sidecar) Report(name string) (Report, error) {
	server, err := s.server(name)
	if err != nil {
		return Report{}, err
	}
	return server.report()
}

func (s *Sidecar) server(name string) (*server, error) {
	server, ok := (*s.servers.Load())[name]
	if !ok {
		return nil, result.New(result.UnknownServer).WithDetail("%s is not on host %s", name, s.config.Host)
	}
	return server, nil
}
