// Package quarantinesync keeps a daemon's quarantine of requests in step with the fleet's.
//
// What a daemon's own backend servers show is sent at once to the daemons that keep others of the
// service, and written to the store, where records of daemons that cannot reach each other come
// together. A quarantine is sent to all daemons, since a route may lead to another service later: those
// that watch the store follow it there, and each tells a few others. A request waits for no call: a
// lookup costs a hash of the request's head, and nothing at all while nothing is held against any.
//
// A Syncer owns the daemon's quarantine.Table and relies on the store and on the daemon's calls to
// others (Config.Tell, Config.Spread).
//
// # Usage
//
//	s := quarantinesync.New(quarantinesync.Config{Host: "csepel-1", Store: kv, Prefix: "tidelift/quarantine", Tell: tell, ...})
//	go s.Run(ctx)
//	status, id := s.Status(request)
//	if status == quarantine.Quarantined && !s.StartTrial(ctx, id) { ... } // refuse it
//	s.RecordEnd(request, "lookup", end) // its backend server ended while it ran it
//	s.RecordAnswer(request)             // or answered it
//	s.Merge(records)                    // of another daemon
//
// One task owns the table and handles messages (task.go, messages.go). The store is followed in
// follow.go; when a record is written is in schedule.go, how in write.go and lease.go; who may
// send a request in quarantine once more in trial.go; an operator's lifting in lift.go. A Syncer
// is safe for concurrent use.
//
// # Cost
//
// An end of a backend server costs a call to each daemon of its service, and one write, or three
// where the request is known in the store; a first one nothing, if the request is answered soon. A
// quarantine costs six calls a daemon. In quiet times those that watch the store wait for it.
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
	// forgetEvery is how often old records are dropped. Not measured: they are kept for minutes.
	forgetEvery = 10 * time.Second
	// messagesWaiting is how many messages may wait for the task. Not measured: an end of a backend server
	// sends one for each request that ran there; a sender waits when there are more.
	messagesWaiting = 256
)

// Config says whose quarantine it is.
type Config struct {
	// Host is the daemon's name.
	Host string
	// Store is the platform's, in which keys begin with Prefix.
	Store  store.Store
	Prefix string
	// NotifyService tells the daemons that keep backend servers of the service, without waiting for them. Spread
	// tells a few others, each of which tells a few in turn.
	NotifyService func(service string, records []quarantine.Record)
	Gossip        func(records []quarantine.Record)
	// Watches reports whether this daemon is one that watches the store.
	Watches func() bool
	// Logger receives numbered events.
	Logger *slog.Logger
	// Scope receives the metrics.
	Scope tally.Scope
	// OnError is told of each call that the store did not answer, OnAnswer of each that it did.
	OnError  func(error)
	OnAnswer func()
}

// Syncer keeps the quarantine.
type Syncer struct {
	config   Config
	messages chan any
	ended    chan struct{}
	view     atomic.Pointer[quarantine.View]
	lease    lease
	metrics  metrics
}

type metrics struct {
	suspected, quarantined tally.Gauge
	trials, failedWrites   tally.Counter
}

// New returns a syncer that knows nothing yet.
func New(config Config) *Syncer {
	s := &Syncer{
		config:   config,
		messages: make(chan any, messagesWaiting),
		ended:    make(chan struct{}),
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

// Run keeps the quarantine until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	defer close(s.ended)
	go s.follow(ctx)
	newTask(s).run(ctx)
}

// Empty reports whether nothing is held against any request.
func (s *Syncer) Empty() bool { return s.view.Load().Empty() }

// Status returns the status of the request and, unless that is quarantine.Clear, its id.
func (s *Syncer) Status(r fingerprint.Request) (quarantine.Status, string) {
	view := s.view.Load()
	if view.Empty() || !view.MayContain(r.HeadHash()) {
		return quarantine.Clear, ""
	}
	id, err := r.Digest()
	if err != nil {
		return quarantine.Clear, "" // a body that cannot be read cannot be sent
	}
	return view.Status(id), id
}

// RecordEnd records that a backend server of the service ended while it ran the request. When it
// returns, this daemon's lookups know it.
func (s *Syncer) RecordEnd(r fingerprint.Request, service string, end quarantine.End) {
	id, err := r.Digest()
	if err != nil {
		return // its caller has gone away in the middle of the body
	}
	known := make(chan struct{})
	s.send(context.Background(), endedMessage{
		sighting: quarantine.Request{ID: id, HeadHash: r.HeadHash(), Service: service, Method: r.Method, Host: r.Host, Path: r.Path},
		end:      end,
		known:    known,
	})
	select {
	case <-known:
	case <-s.ended:
	}
}

// RecordAnswer records that a backend server answered the request.
func (s *Syncer) RecordAnswer(r fingerprint.Request) {
	if status, id := s.Status(r); status != quarantine.Clear {
		s.send(context.Background(), answeredMessage{id: id})
	}
}

// Merge merges records of another daemon.
func (s *Syncer) Merge(records []quarantine.Record) {
	s.send(context.Background(), mergeMessage{records: records})
}

// Sum returns a hash of what is known of quarantines, by which two daemons find whether they know the same.
func (s *Syncer) Sum() uint64 { return s.view.Load().Sum() }

// Quarantines returns what is known of quarantines, also of those that have ended.
func (s *Syncer) Quarantines() []quarantine.Record { return s.view.Load().Quarantines() }

// Records returns all records.
func (s *Syncer) Records() []quarantine.Record {
	reply := make(chan []quarantine.Record, 1)
	s.send(context.Background(), recordsMessage{reply: reply})
	select {
	case records := <-reply:
		return records
	case <-s.ended:
		return nil
	}
}

// ask sends the task a message and returns its answer.
func (s *Syncer) ask(ctx context.Context, message any, reply chan answer) (answer, error) {
	s.send(ctx, message)
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		return answer{}, result.Wrap(result.PlatformDown, ctx.Err())
	case <-s.ended:
		return answer{}, result.New(result.Stopping)
	}
}

// send sends the task a message, unless it has ended.
func (s *Syncer) send(ctx context.Context, message any) {
	select {
	case s.messages <- message:
	case <-ctx.Done():
	case <-s.ended:
	}
}
