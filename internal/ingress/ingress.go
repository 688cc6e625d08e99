// Package ingress is the part of a daemon that takes callers' requests.
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
// A request passes these steps, each in a file of its own:
//
//	check       refuses what is malformed, ambiguous or too large        (check.go)
//	admit       finds the route and the deadline                         (admit.go)
//	customer    finds whose key it carries, and holds it to its limit    (customer.go)
//	attempts    tries, and again where allowed                           (attempts.go)
//	choose      says whom to ask next, by what was tried so far          (choose.go, trace.go)
//	hedge       sends hedges of a slow request, the first answer wins    (hedge.go, latencies.go)
//	attempt     is one sending, watched for being overdue                (attempt.go, clock.go)
//	reserve     asks a sidecar to keep a slot for the request            (reservation.go)
//	send        passes the request to the backend server's sidecar       (send.go)
//	learn       takes what became of an attempt as evidence              (learn.go, judge.go)
//	answer      passes the answer on                                     (serve.go)
//	subrequest  learns which routes backend servers of this host call    (subrequest.go)
//	refuse      answers with the failure, its code and when to come back (refuse.go)
//
// Beside requests, the daemons of hosts that cannot be reached are asked until they
// answer (reach.go), and each declaration renews what is kept of the services
// (service.go).
//
// A caller gets the whole answer to its own request or a failure whose code
// says what is known. Nothing that has been given up is held back.
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

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/detect"
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

const (
	// idleTimeout is how long an idle connection to another daemon is kept.
	// It is shorter than the daemons keep theirs, so that a request seldom
	// meets a connection that is just being closed.
	idleTimeout = 45 * time.Second
	// drainingPause is how long a target is passed over whose daemon stops. A
	// daemon that comes back sooner gets work again after it.
	drainingPause = 3 * time.Second
)

// Config says who the daemon is and how the ingress reaches sidecars.
type Config struct {
	// Host is the daemon's name.
	Host string
	// DataCentre is where it stands.
	DataCentre string
	// Service is the service of the applications on this host, whose requests
	// begin here; it may be empty.
	Service string
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int
	// TLS is what the daemon proves itself with to others; nil for none.
	TLS *tls.Config
	// Off are mechanisms that are switched off.
	Off experiment.Off
	// Logger receives numbered events.
	Logger *slog.Logger
	// Scope receives the metrics.
	Scope tally.Scope
	// Far says whether bytes to another daemon's address are dear and travel compressed,
	// which they do without TLS alone; nil if none do.
	Far func(address string) bool
	// Ping asks another host's daemon for any answer; nil if hosts are not asked.
	Ping func(context.Context, fleet.Host) error
	// Silent is told of a host that has not answered for long.
	Silent func(fleet.Host)
	// Subrequest is told what is seen of routes that the backend servers of this host may
	// call; nil if nobody is told.
	Subrequest func([]subrequest.Evidence)
	// AdmitCustomer says whether a request of the customer is within its limit, and GiveBack
	// takes that back for one that reached no backend server; nil if there are no limits.
	AdmitCustomer func(customer string) quota.Decision
	GiveBack      func(customer string)
	// Runs knows what the backend servers of this host run; nil if nothing is known of that.
	Runs *runs.Table
	// Retries is the host's budgets of retries; nil keeps one for the ingress alone.
	Retries *retry.Budgets
	// HostsCounted says whether the declaration has the hosts that the platform's store listed, so
	// that they can share what all of them may do together; nil if it always has.
	HostsCounted func() bool
	// BorrowRetry takes a retry of a request to the service from another host, to be made at once;
	// nil if others are not asked.
	BorrowRetry func(ctx context.Context, service string) bool
	// Local runs a request on a backend server of the daemon's own host.
	Local func(context.Context, hop.Call, *http.Request) (sidecar.Answer, error)
	// LocalReservation keeps a slot of a backend server of the daemon's own host.
	LocalReservation func(context.Context, hop.Call) (string, error)
}

// Ingress takes callers' requests.
type Ingress struct {
	config    Config
	disabled  disabled
	transport *http.Transport
	start     time.Time
	metrics   metrics
	reach     *reach
	ended     context.Context // ends with the ingress
	answering context.Context // ends when all callers that still wait get their answers
	answerAll context.CancelFunc
	inFlight  atomic.Int64
	settling  atomic.Bool // a planned stop has begun
	stopping  atomic.Bool

	latencies  latencies
	subrequest *subrequest.Tracker

	mu    sync.Mutex // serialises Reconfigure
	state atomic.Pointer[state]
}

type metrics struct {
	requests tally.Counter
	refused  metric.Reasons
	retried  metric.Reasons
	limited  metric.Reasons // failures that the retry limit made final
	seconds  tally.Histogram
}

// New returns an ingress that refuses requests until Reconfigure, and a
// function that closes its connections.
func New(config Config) (*Ingress, func()) {
	if config.Runs == nil {
		config.Runs = runs.New()
	}
	if config.Retries == nil {
		config.Retries = retry.NewBudgets(retry.Config{Began: time.Now()})
	}
	in := &Ingress{
		config:   config,
		disabled: disabledBy(config.Off),
		start:    time.Now(),
		transport: &http.Transport{
			DialContext:           dialTo(config),
			TLSClientConfig:       config.TLS,
			DisableCompression:    true,
			MaxIdleConnsPerHost:   1024,
			IdleConnTimeout:       idleTimeout,
			ExpectContinueTimeout: time.Second,
		},
		metrics: metrics{
			requests: config.Scope.Counter("ingress_requests"),
			refused:  metric.NewReasons(config.Scope, "ingress_failures"),
			retried:  metric.NewReasons(config.Scope, "ingress_retries"),
			limited:  metric.NewReasons(config.Scope, "ingress_retries_limited"),
			seconds:  config.Scope.Histogram("ingress_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)),
		},
	}
	in.subrequest = subrequest.New(subrequest.Config{Changed: in.logSubrequest})
	in.reach = &reach{in: in, away: make(map[string]bool)}
	ended, cancel := context.WithCancel(context.Background())
	in.ended = ended
	in.answering, in.answerAll = context.WithCancel(ended)
	return in, func() {
		cancel()
		in.end()
	}
}

// dialTo returns what connects to other daemons.
func dialTo(config Config) dial.Func {
	far := config.Far
	if config.TLS != nil {
		far = nil // the length of what is compressed tells something of it
	}
	return dial.Compressed(dial.New(dial.ToDaemons()), far)
}

// end ends the judges and closes the connections.
func (in *Ingress) end() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if last := in.state.Load(); last != nil {
		endRemoved(last, &state{})
	}
	in.transport.CloseIdleConnections()
}

func (in *Ingress) service(name string) (*service, bool) {
	current := in.state.Load()
	if current == nil {
		return nil, false
	}
	s, ok := current.services[name]
	return s, ok
}

// Explain returns the evidence that this daemon has on a backend server.
func (in *Ingress) Explain(service, backendServer string) (detect.Explanation, string, bool) {
	s, ok := in.service(service)
	if !ok {
		return detect.Explanation{}, "", false
	}
	return s.judge.explain(backendServer)
}

// Pool returns the backend servers of the service as this daemon sees them.
func (in *Ingress) Pool(service string) (*balance.Pool, bool) {
	s, ok := in.service(service)
	if !ok {
		return nil, false
	}
	return s.pool, true
}

// Draining keeps away for a while from backend servers that another daemon says
// take no more work.
func (in *Ingress) Draining(names []string) {
	until := time.Now().Add(drainingPause)
	in.eachTarget(names, func(pool *balance.Pool, target *balance.Target) { pool.Pause(target, until) })
}

// Trusted takes it that backend servers are no longer suspected.
func (in *Ingress) Trusted(names []string) {
	in.eachTarget(names, func(pool *balance.Pool, target *balance.Target) { pool.Trust(target) })
}

// eachTarget calls the function for the targets of those names.
func (in *Ingress) eachTarget(names []string, f func(*balance.Pool, *balance.Target)) {
	current := in.state.Load()
	if current == nil {
		return
	}
	for _, name := range names {
		placement, ok := current.index.BackendServer(name)
		if !ok {
			continue
		}
		pool := current.services[placement.Service.Name].pool
		for _, target := range pool.Targets() {
			if target.Name == name {
				f(pool, target)
			}
		}
	}
}

// InFlight returns how many callers' requests are being served.
func (in *Ingress) InFlight() int64 { return in.inFlight.Load() }

// Settle takes it that a planned stop has begun: what is in flight stays where it
// is, since another backend server may not take it any more.
func (in *Ingress) Settle() { in.settling.Store(true) }

// Stop refuses new requests from now on.
func (in *Ingress) Stop() { in.stopping.Store(true) }

// AnswerAll answers at once what callers still wait for: that it was not run, where that
// is so, and else that nothing more is known of it.
func (in *Ingress) AnswerAll() {
	in.Stop()
	in.answerAll()
}

// requestID returns the id by which callers name the request; it may be empty.
func (in *Ingress) requestID(r *http.Request) string {
	header := in.callers().IDHeader
	if header == "" {
		return ""
	}
	return r.Header.Get(header)
}

// callers says what the headers of callers' requests mean; it is empty without a
// declaration.
func (in *Ingress) callers() fleet.Callers {
	current := in.state.Load()
	if current == nil {
		return fleet.Callers{}
	}
	return current.index.Declaration.Callers
}
