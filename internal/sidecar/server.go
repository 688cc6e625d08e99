package sidecar

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/backend"
	"github.com/tideliftd/tidelift/internal/dial"
	"github.com/tideliftd/tidelift/internal/result"
)

// mailboxSize is how many messages may wait for a server's task. A sender blocks while the mailbox
// is full.
const mailboxSize = 256

// server is the handle of one backend server's task.
type server struct {
	mailbox         chan any
	ended           chan struct{}
	loadBits        atomic.Uint64
	failureRateBits atomic.Uint64 // the share of recent requests that failed
	limitBits       atomic.Uint64 // the limit that it names, in requests a second; zero if none
	answered        atomic.Bool   // an answer without a limit has been recorded
	limitInvalid    atomic.Bool   // the last limit that it named could not be read
	limitGauge      tally.Gauge
	draining        atomic.Bool
	leaving         atomic.Bool  // Config.OnLeaving has been called
	endedAt         atomic.Int64 // when its end was detected, in Unix milliseconds; zero after the next answer
	declared        atomic.Pointer[declared]
	pool            *backend.Pool
	slotTime        slotTime
	// longLatencyTarget is the latency target from which a request is long; zero if none is.
	longLatencyTarget time.Duration
	quickFailures     tally.Counter
	sentRequests      sentRequests
	closePool         func()
}

func newServer(config Config, d *declared, connects tally.Counter) *server {
	s := &server{
		mailbox:           make(chan any, mailboxSize),
		ended:             make(chan struct{}),
		slotTime:          newSlotTime(config.Scope, d.Service.Name),
		longLatencyTarget: config.LongLatencyTarget,
		quickFailures:     config.Scope.Counter("sidecar_quick_failures"),
		sentRequests:      newSentRequests(config.Scope, d.Service.Name),
		limitGauge:        config.Scope.Tagged(map[string]string{"service": d.Service.Name}).Gauge("sidecar_server_limit"),
	}
	s.declared.Store(d)
	s.pool, s.closePool = backend.New(backend.Config{
		Address:   d.BackendServer.Address,
		Dial:      dial.Patient(dial.Config{ConnectTimeout: connectTimeout, UserTimeout: unacknowledgedTimeout}),
		OnConnect: func() { connects.Inc(1) },
	})
	go newTask(config, s, d).run()
	return s
}

func (s *server) address() string { return s.declared.Load().BackendServer.Address }

func (s *server) load() float64 { return math.Float64frombits(s.loadBits.Load()) }

func (s *server) failureRate() float64 { return math.Float64frombits(s.failureRateBits.Load()) }

// isDraining reports whether the backend server takes no new work because it is draining or has
// been replaced, so that its end is expected.
func (s *server) isDraining() bool {
	select {
	case <-s.ended:
		return true
	default:
		return s.draining.Load()
	}
}

// send sends the task a message and reports whether the task still runs.
func (s *server) send(message any) bool {
	select {
	case s.mailbox <- message:
		return true
	case <-s.ended:
		return false
	}
}

func (s *server) end() {
	close(s.ended)
	s.closePool()
}

func (s *server) reconfigure(d *declared) {
	s.declared.Store(d)
	s.send(reconfigureMessage{declared: d})
}

func (s *server) report() (Report, error) {
	reply := make(chan Report, 1)
	gone := result.New(result.UnknownServer)
	if !s.send(reportMessage{reply: reply}) {
		return Report{}, gone
	}
	select {
	case report := <-reply:
		return report, nil
	case <-s.ended:
		return Report{}, gone
	}
}
