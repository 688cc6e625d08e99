// Package ingress accepts callers' requests and routes them to backend servers.
//
// # Usage
//
//	in, cleanUp := ingress.New(ingress.Config{
//		Host: "csepel-1", DataCentre: "csepel",
//		Logger: logger, Scope: scope, Local: sidecar.Do, LocalReservation: sidecar.Reserve,
//	})
//	defer cleanUp()
//	in.Reconfigure(index)
//	http.Serve(listener, in)
//
// # Request processing
//
// ServeHTTP (serve.go) takes each caller's request through these steps, in the goroutine of the
// caller's connection:
//
//  1. Admission (admit.go). The request is refused if the daemon has no declaration or is stopping, if
//     the request is malformed, ambiguous or too large (check.go), if no route matches, if its key is
//     unknown (customer.go) or if its deadline is invalid. The customer's limit is checked last.
//  2. newRequest (admit.go) picks the service by the route's split and describes the request to
//     package attempts. Requests that a backend server of this host sent while running another
//     request are prioritised (prioritizeSubrequest; subrequest.go learns which these are).
//  3. A short body is read in full so that it can be resent (package body). A body for which the daemon
//     has no memory left is refused before any of it is sent.
//  4. tryAll (attempts.go) sends the request to one backend server after another. Package attempts
//     decides: Choose, which backend server gets it; MayRetry, whether a failure is retried; Failure
//     and NoTargetFailure, which failure the caller gets. The ingress waits between choices, takes
//     retries from the service's limit (limit.go) and logs.
//  5. runRace (race.go) runs one attempt and, if it is slow, its hedges, as attempts.Hedging decides.
//     latencies.go learns the usual latency of each route. The first answer wins.
//  6. An attempt (attempt.go) sends the request once, to the sidecar of the backend server's host
//     (send.go): by a function call on this host, over the hop otherwise. A non-idempotent request
//     and each hedge first get a reservation (reservation.go). A timer reports an attempt that is
//     overdue (clock.go).
//  7. The outcome is recorded (learn.go): it may pause the backend server, and it is evidence for the
//     service's outlierDetector (judge.go), which avoids (avoid.go) backend servers whose path looks
//     unhealthy. Package failures classifies each failure. An unreachable host is pinged until it
//     answers (reach.go).
//  8. The answer is forwarded (serve.go), or the failure is answered with its code and Retry-After
//     (refuse.go). In a planned stop, callers that still wait get a final answer (stop.go).
//
// # State
//
// For each service of the declaration, the ingress owns a balance.Pool with the state of its
// backend servers, an outlierDetector, which runs in its own goroutine, and the retry limit
// (service.go). It also owns a latency.Estimate for each route, the connections to other daemons,
// the set of unreachable hosts and the evidence on subrequests. Reconfigure applies a new
// declaration and keeps what was learned. Other parts of the daemon report backend servers that
// are draining or trusted again, and query the evidence (targets.go).
//
// # Guarantees
//
// A caller gets the complete answer to its own request, or a failure whose code says whether the
// request may have run. Attempts that are no longer needed are cancelled.
package ingress

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/bound"
	"github.com/tideliftd/tidelift/internal/dial"
	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/metric"
	"github.com/tideliftd/tidelift/internal/quota"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/runs"
	"github.com/tideliftd/tidelift/internal/sidecar"
	"github.com/tideliftd/tidelift/internal/subrequest"
)

// idleTimeout is how long an idle connection to another daemon is kept. It is shorter than the
// daemons' own idle timeout, so that a request rarely uses a connection that is being closed.
const idleTimeout = 45 * time.Second

// Config configures an Ingress.
type Config struct {
	// Host is the daemon's name.
	Host string
	// DataCentre is the data centre of the daemon's host.
	DataCentre string
	// Service is the service of the applications on this host that send requests to this daemon; it
	// may be empty.
	Service string
	// HeaderBytes limits the size of a request's headers, in bytes.
	HeaderBytes int
	// LongLatencyTarget is the latency target from which a request is long; zero if none is.
	LongLatencyTarget time.Duration
	// BodyMemory bounds the sum of the request bodies that the daemon holds; nil if nothing does.
	BodyMemory *body.Memory
	// TLS is the client configuration for connections to other daemons; nil disables TLS.
	TLS *tls.Config
	// Off lists the mechanisms that are switched off.
	Off experiment.Off
	// Logger receives numbered events.
	Logger *slog.Logger
	// Scope receives the metrics.
	Scope tally.Scope
	// ShouldCompress reports whether traffic to another daemon's address is compressed because
	// bandwidth to it is expensive; nil if none is. It is ignored with TLS.
	ShouldCompress func(address string) bool
	// AnswersWait reports whether other answers wait on the connection of the request with the context; nil if none ever do.
	AnswersWait func(ctx context.Context) bool
	// Ping sends a request to another host's daemon and returns nil on any answer; nil disables
	// pings.
	Ping func(context.Context, fleet.Host) error
	// OnHostUnresponsive is called for a host that has not answered any ping within the ping
	// period. It is required if Ping is set.
	OnHostUnresponsive func(fleet.Host)
	// OnSubrequestEvidence receives evidence on routes that the backend servers of this host may
	// call; nil discards it.
	OnSubrequestEvidence func([]subrequest.Evidence)
	// AdmitCustomer decides whether a request is within the customer's limit, and RefundCustomer
	// reverts that for a request that reached no backend server; both are nil if there are no
	// limits.
	AdmitCustomer  func(customer string) quota.Decision
	RefundCustomer func(customer string)
	// Runs tracks the requests that the backend servers of this host are running; nil uses an empty
	// table.
	Runs *runs.Table
	// Retries holds the host's retry budgets; nil creates budgets that only this ingress uses.
	Retries *retry.Budgets
	// ShareUsable reports whether the declaration contains the hosts listed in the platform's
	// store, so that limits can be divided among them; nil means always.
	ShareUsable func() bool
	// BorrowRetry borrows a retry for a request to the service from another host, for immediate
	// use; nil disables borrowing.
	BorrowRetry func(ctx context.Context, service string) bool
	// Local runs a request on a backend server of the daemon's own host.
	Local func(context.Context, hop.Call, *http.Request) (sidecar.Answer, error)
	// LocalReservation reserves a slot of a backend server of the daemon's own host.
	LocalReservation func(context.Context, hop.Call) (string, error)
}

// Ingress accepts callers' requests.
type Ingress struct {
	config        Config
	disabled      disabled
	transport     *http.Transport
	start         time.Time
	metrics       metrics
	hostMonitor   *hostMonitor
	baseCtx       context.Context // done when the ingress is closed
	pendingCtx    context.Context // done when pending requests must be answered
	cancelPending context.CancelFunc
	inFlight      atomic.Int64
	// finalAnswersAt is when a planned stop answers all pending requests; nil until one begins.
	finalAnswersAt atomic.Pointer[time.Time]
	stopping       atomic.Bool

	latencies  latencies
	subrequest *subrequest.Tracker

	mu    sync.Mutex // serialises Reconfigure
	state atomic.Pointer[state]
}

type metrics struct {
	requests tally.Counter
	refused  metric.Reasons
	retried  metric.Reasons
	limited  metric.Reasons // failures not retried because of the retry limit
	seconds  tally.Histogram
}

// New returns an ingress that refuses requests until Reconfigure is called, and a function that
// ends its background work and closes its idle connections.
func New(config Config) (*Ingress, func()) {
	if config.Runs == nil {
		config.Runs = runs.New()
	}
	if config.Retries == nil {
		config.Retries = retry.NewBudgets(retry.Config{StartedAt: time.Now()})
	}
	in := &Ingress{
		config:   config,
		disabled: disabledBy(config.Off),
		start:    time.Now(),
		transport: &http.Transport{
			DialContext:            dialer(config),
			TLSClientConfig:        config.TLS,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    1024,
			IdleConnTimeout:        idleTimeout,
			ExpectContinueTimeout:  time.Second,
			MaxResponseHeaderBytes: bound.PeerHead,
		},
		metrics: metrics{
			requests: config.Scope.Counter("ingress_requests"),
			refused:  metric.NewReasons(config.Scope, "ingress_failures"),
			retried:  metric.NewReasons(config.Scope, "ingress_retries"),
			limited:  metric.NewReasons(config.Scope, "ingress_retries_limited"),
			seconds:  config.Scope.Histogram("ingress_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)),
		},
	}
	in.subrequest = subrequest.New(subrequest.Config{OnChange: in.logSubrequest})
	in.hostMonitor = &hostMonitor{in: in, unreachable: make(map[string]bool)}
	baseCtx, cancel := context.WithCancel(context.Background())
	in.baseCtx = baseCtx
	in.pendingCtx, in.cancelPending = context.WithCancel(baseCtx)
	return in, func() {
		cancel()
		in.close()
	}
}

// dialer returns the dial function for connections to other daemons.
func dialer(config Config) dial.Func {
	far := config.ShouldCompress
	if config.TLS != nil {
		far = nil // compressed lengths leak information about encrypted content
	}
	return dial.Compressed(dial.Patient(dial.ToDaemons()), far)
}

// close stops the outlier detectors and closes idle connections.
func (in *Ingress) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if last := in.state.Load(); last != nil {
		stopRemoved(last, &state{})
	}
	in.transport.CloseIdleConnections()
}

// requestID returns the caller's ID of the request; it may be empty.
func (in *Ingress) requestID(r *http.Request) string {
	header := in.callers().IDHeader
	if header == "" {
		return ""
	}
	return r.Header.Get(header)
}

// callers returns how callers' headers are interpreted; it is the zero value without a declaration.
func (in *Ingress) callers() fleet.Callers {
	current := in.state.Load()
	if current == nil {
		return fleet.Callers{}
	}
	return current.index.Declaration.Callers
}
