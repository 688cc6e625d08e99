// Package sidecar is the part of a daemon that sends requests to the backend servers of its own
// host. No other process of the fleet sends requests to them.
//
// Slots, the queue, draining, ejection, and whether a request was run are therefore state of one
// process. One task for each backend server owns that state and communicates by messages. The files
// by topic:
//
//	sidecar.go     starts, reconfigures and ends the tasks
//	do.go          runs a request: slot, quarantine, sending, evidence
//	handler.go     serves the requests of other daemons
//	exchange.go    sends the request and checks the answer
//	callers.go     records which hosts send requests
//	reservation.go holds a slot for a request that must not run twice
//	server.go      is the handle of a task
//	declared.go    holds the declaration of a backend server
//	acquire.go     waits for a slot
//	slot.go        observes the request that holds a slot
//	slow.go        reports slow requests to the task
//	quick.go       recognises long requests that failed quickly
//	messages.go    defines the messages to the task
//	task.go        handles the messages
//	admit.go       decides on a request, by internal/admission
//	slots.go       grants and queues slots
//	cold.go        limits the rate of requests to a cold backend server
//	limit.go       keeps the limit that a backend server names in its answers
//	draining.go    refuses new work while the backend server is draining
//	suspicion.go   refuses requests at the first sign of failure
//	eject.go       takes an unhealthy backend server out of service if the floor permits it
//	lease.go       requests, grants and releases leases
//	report.go      describes the backend server to operators
//	runs.go        counts and records what is sent, and reserves the retry budget of a retry's calls
//	ends.go        detects which requests a backend server ran when it ended
//	usage.go       counts slot time by use
//
// # Usage
//
//	s, cleanUp := sidecar.New(sidecar.Config{Host: "csepel-1", Logger: logger, Scope: scope, Peer: peer})
//	defer cleanUp()
//	s.Reconfigure(index)
//	answer, err := s.Do(ctx, call, request) // from the ingress of the same daemon
//	http.Serve(listener, s.Handler())       // from other daemons
//
// An error of Do is a *result.Error. A code with RanNo proves that nothing was sent to the backend
// server and that nothing will be.
package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/metric"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/runs"
)

const (
	// connectTimeout bounds the opening of a connection to a backend server on the same host, which
	// takes long only if the accept queue is full.
	connectTimeout = 500 * time.Millisecond
	// unacknowledgedTimeout is how long bytes to a backend server may stay unacknowledged before
	// the connection counts as lost.
	unacknowledgedTimeout = 5 * time.Second
)

// Config configures a sidecar.
type Config struct {
	// Host is the daemon's name.
	Host string
	// LongLatencyTarget is the latency target from which a request is long; zero if none is.
	LongLatencyTarget time.Duration
	// Off holds the mechanisms that are switched off.
	Off experiment.Off
	// Logger receives numbered events.
	Logger *slog.Logger
	// Scope receives the metrics.
	Scope tally.Scope
	// OnAnswer is called for each answer of a backend server of this host; good is false if the
	// answer reports a failure. It may be nil.
	OnAnswer func(good bool)
	// OnLeaving is called once for each backend server of this host whose answer says that it is draining; nil if
	// such draining expires.
	OnLeaving func(backendServer string)
	// Runs records what the backend servers of this host run; nil creates a table private to the
	// sidecar.
	Runs *runs.Table
	// Retries holds the host's retry budgets; nil permits only the retries that make no calls.
	Retries *retry.Budgets
	// BorrowRetry borrows one retry of a request to the service from another host, for a call that
	// is about to be made, and reports whether it succeeded; nil disables borrowing.
	BorrowRetry func(ctx context.Context, service string) bool
	// Quarantine holds the requests that must not be sent to any backend server; nil disables
	// quarantines.
	Quarantine *quarantinesync.Syncer
	// BodyMemory bounds the sum of the request bodies that the daemon holds; nil if nothing does.
	BodyMemory *body.Memory
	// Peer makes the calls to the sidecars of other backend servers.
	Peer Peer
}

// isLong reports whether the rules for long requests apply to the request, by its latency target or because
// its ingress says so, as for a call that a long request makes.
func isLong(threshold time.Duration, call hop.Call) bool {
	return threshold > 0 && (call.Long || call.LatencyTarget >= threshold)
}

// Sidecar sends work to the backend servers of one host.
type Sidecar struct {
	config    Config
	refused   metric.Reasons
	connects  tally.Counter
	ends      tally.Counter // runs that ended with their backend server
	badLimits tally.Counter // limits of backend servers that could not be read
	nextID    atomic.Uint64
	stopping  atomic.Bool
	// finalAnswersAt is when a planned stop gives up what still runs; nil until one begins.
	finalAnswersAt atomic.Pointer[time.Time]
	reservations   *reservations
	callers        *callers

	mu      sync.Mutex // serialises Reconfigure and end
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
		badLimits:    config.Scope.Counter("sidecar_invalid_limits"),
		reservations: newReservations(),
		callers:      newCallers(),
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

// Reconfigure starts, changes and ends the tasks of backend servers according to the declaration.
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

// BeginShutdown records that a planned stop has begun, which gives up what still runs at finalAnswersAt.
// Work that could still be running then is refused from now on.
func (s *Sidecar) BeginShutdown(finalAnswersAt time.Time) { s.finalAnswersAt.Store(&finalAnswersAt) }

// mayOutlastStop reports whether the call could still be running at the end of a planned stop.
func (s *Sidecar) mayOutlastStop(call hop.Call, now time.Time) bool {
	finalAnswersAt := s.finalAnswersAt.Load()
	return finalAnswersAt != nil && now.Add(call.TimeLeft).After(*finalAnswersAt)
}

// Stop refuses new work from now on. Running, queued and reserved requests are finished.
func (s *Sidecar) Stop() { s.stopping.Store(true) }

// Drain sets whether a backend server is draining. A draining one finishes its requests and
// receives no new ones.
func (s *Sidecar) Drain(name string, draining bool) error {
	server, err := s.server(name)
	if err != nil {
		return err
	}
	server.send(drainMessage{draining: draining})
	return nil
}

// HostDraining records whether the platform's host list marks the host as draining.
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
