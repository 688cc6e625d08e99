// Package quarantinesync synchronizes a daemon's quarantine with the rest of the fleet.
//
// Changes that a daemon's own backend servers cause are sent immediately to the daemons with other backend servers of
// the service, and written to the store, where records of daemons that cannot reach each other are merged. A
// quarantine is distributed to all daemons, since a route may later lead to another service: daemons that watch the
// store receive it there, and each notifies a few others. Requests do not wait for calls: a lookup costs a hash of
// everything but the body, and nothing while no request is suspected or quarantined.
//
// A Syncer owns the daemon's quarantine.Table. It uses the store and the daemon's calls to other daemons
// (Config.NotifyService, Config.Gossip).
//
// # Usage
//
//	s := quarantinesync.New(quarantinesync.Config{Host: "csepel-1", Store: kv, Prefix: "tidelift/quarantine", NotifyService: notify, ...})
//	go s.Run(ctx)
//	status, id := s.Status(request)
//	if status == quarantine.Quarantined && !s.StartTrial(ctx, id) { ... } // refuse the request
//	s.ReturnTrial(id)                   // the trial did not run
//	s.RecordEnd(request, "lookup", end) // its backend server ended while running it
//	s.RecordAnswer(request)             // or answered it
//	s.Merge(records)                    // from another daemon
//
// A single goroutine owns the table and handles messages (task.go, messages.go). answers.go remembers answered requests
// in case ends of backend servers that precede them are reported later; follow.go follows the store;
// schedule.go decides when a record is written, write.go and lease.go how; trial.go claims the trial of a
// quarantined request; lift.go clears a request on behalf of an operator. A Syncer is safe for concurrent use.
//
// # Cost
//
// An end of a backend server costs a call to each daemon of its service and one write, or three store calls if the
// store already has a record of the request. A first end costs no write if the request is answered soon. A quarantine
// costs six calls per daemon. A daemon that refutes it makes as many calls as at an end, and six more. While no request
// is suspected or quarantined, the only calls are those of the daemons that watch the store.
package quarantinesync

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/fingerprint"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/store"
)

const (
	// pruneInterval is the interval at which expired records are removed.
	pruneInterval = 10 * time.Second
	// messageQueueSize is the capacity of the message queue; senders block while it is full. An end of a backend
	// server sends one message for each request that was running there.
	messageQueueSize = 256
)

// Config configures a Syncer.
type Config struct {
	// Host is the name of the daemon's host.
	Host string
	// Store is the platform's key-value store. All keys begin with Prefix.
	Store  store.Store
	Prefix string
	// NotifyService notifies the daemons that have backend servers of the service, without waiting for them. Gossip
	// notifies a few daemons, each of which notifies a few more.
	NotifyService func(service string, records []quarantine.Record)
	Gossip        func(records []quarantine.Record)
	// Watches reports whether this daemon watches the store.
	Watches func() bool
	// Logger receives numbered events.
	Logger *slog.Logger
	// Scope receives the metrics.
	Scope tally.Scope
	// OnError is called for each store call that fails, and OnAnswer for each that is answered.
	OnError  func(error)
	OnAnswer func()
}

// Syncer synchronizes the quarantine of a daemon.
type Syncer struct {
	config   Config
	messages chan any
	stopped  chan struct{}
	view     atomic.Pointer[quarantine.View]
	lease    lease
	answers  recentAnswers
	metrics  metrics
}

type metrics struct {
	suspected, quarantined tally.Gauge
	trials, failedWrites   tally.Counter
}

// New returns a Syncer without records. It does nothing until Run is called.
func New(config Config) *Syncer {
	s := &Syncer{
		config:   config,
		messages: make(chan any, messageQueueSize),
		stopped:  make(chan struct{}),
		metrics: metrics{
			suspected:    config.Scope.Gauge("quarantine_suspected"),
			quarantined:  config.Scope.Gauge("quarantine_quarantined"),
			trials:       config.Scope.Counter("quarantine_trials"),
			failedWrites: config.Scope.Counter("quarantine_failed_writes"),
		},
	}
	s.view.Store(quarantine.New().View())
	return s
}

// Run synchronizes the quarantine until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	defer close(s.stopped)
	go s.follow(ctx)
	newTask(s).run(ctx)
}

// Empty reports whether no request is suspected or quarantined.
func (s *Syncer) Empty() bool { return s.view.Load().Empty() }

// Status returns the status of the request and, unless that is quarantine.Clear, its digest.
func (s *Syncer) Status(r fingerprint.Request) (quarantine.Status, string) {
	view := s.view.Load()
	if view.Empty() || !view.MayContain(r.HeadHash()) {
		return quarantine.Clear, ""
	}
	id, err := r.Digest()
	if err != nil {
		return quarantine.Clear, "" // a request whose body cannot be read is not sent
	}
	return view.Status(id), id
}

// RecordEnd records that a backend server of the service ended while running the request. When it returns, lookups
// on this daemon reflect the end.
func (s *Syncer) RecordEnd(r fingerprint.Request, service string, end quarantine.End) {
	id, err := r.Digest()
	if err != nil {
		return // the client disconnected while sending the body
	}
	applied := make(chan struct{})
	s.send(context.Background(), endedMessage{
		request: quarantine.Request{ID: id, HeadHash: r.HeadHash(), Service: service, Method: r.Method, Host: r.Host, Path: r.Path},
		end:     end,
		applied: applied,
	})
	select {
	case <-applied:
	case <-s.stopped:
	}
}

// RecordAnswer records that a backend server answered the request, which clears it now, or later if ends that precede
// the answer are reported only then.
func (s *Syncer) RecordAnswer(r fingerprint.Request) {
	if status, id := s.Status(r); status != quarantine.Clear {
		s.send(context.Background(), answeredMessage{id: id})
		return
	}
	var body []byte
	if r.Body != nil {
		first, err := r.Body(fingerprint.MaxBodyBytes)
		if err != nil {
			return // without its body the request cannot be identified
		}
		body = first
	}
	s.answers.add(time.Now(), r, body)
}

// Merge merges records from another daemon.
func (s *Syncer) Merge(records []quarantine.Record) {
	s.send(context.Background(), mergeMessage{records: records})
}

// Sum returns a hash of the records that Quarantines returns, by which two daemons detect whether these differ.
func (s *Syncer) Sum() uint64 { return s.view.Load().Sum() }

// Quarantines returns the records of requests that are or were quarantined.
func (s *Syncer) Quarantines() []quarantine.Record { return s.view.Load().Quarantines() }

// Records returns all records, or nil if Run has ended.
func (s *Syncer) Records() []quarantine.Record {
	reply := make(chan []quarantine.Record, 1)
	s.send(context.Background(), recordsMessage{reply: reply})
	select {
	case records := <-reply:
		return records
	case <-s.stopped:
		return nil
	}
}

// request sends a message to the task and waits for the reply.
func (s *Syncer) request(ctx context.Context, message any, reply chan taskReply) (taskReply, error) {
	s.send(ctx, message)
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		return taskReply{}, result.Wrap(result.PlatformDown, ctx.Err())
	case <-s.stopped:
		return taskReply{}, result.New(result.Stopping)
	}
}

// send sends a message to the task, unless Run or ctx has ended.
func (s *Syncer) send(ctx context.Context, message any) {
	select {
	case s.messages <- message:
	case <-ctx.Done():
	case <-s.stopped:
	}
}
