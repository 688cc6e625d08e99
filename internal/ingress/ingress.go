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
// # The way of a request
//
// ServeHTTP (serve.go) takes a caller's request, in its own goroutine, through these steps:
//
//  1. admission (admit.go): it is refused if the daemon has no declaration or stops, if it is
//     malformed, ambiguous or too large (check.go), if no route leads to a service, if its key is
//     not known (customer.go) or its deadline is no number. The last check is its customer's limit.
//  2. newRequest (admit.go) draws the service by the route's split and sets the terms on which the
//     request is served. What a backend server of this host sent for a request that it is running
//     goes before other work (putSubrequestFirst, and subrequest.go for how that is learned).
//  3. A short body is read whole, so that it can be sent again (package body).
//  4. tryAll (attempts.go) sends it to one backend server after another. Package attempts decides:
//     Choose, which backend server gets it; MayRetry, whether there is another attempt after a failure; Failure and
//     NoneLeft, what the caller is told in the end. The ingress waits before another look, takes a
//     retry from the service's limit (limit.go) and logs.
//  5. runRace (race.go) runs one attempt and, if it is slow, hedges of it, as attempts.Hedging decides.
//     How long answers of the route take is learned in latencies.go. The first answer wins.
//  6. An attempt (attempt.go) is one sending to the sidecar of the backend server's host (send.go): on
//     this host by a call, else over the hop. What must not run twice gets a reservation first, as does
//     each hedge (reservation.go). A clock reports an attempt that is overdue (clock.go).
//  7. What an answer or a failure shows is learned (learn.go): whether the backend server is asked less
//     for a while, and evidence for the service's judge (judge.go), which avoids (avoid.go) those whose path looks
//     sick. What a failure means stands in package failures. A host that cannot be reached is asked
//     until it answers (reach.go).
//  8. The answer is passed on (serve.go), or the failure is answered with its code and when to come back
//     (refuse.go). In a planned stop, callers that still wait are told what is known (stop.go).
//
// # What it owns
//
// For each service of the declaration a balance.Pool with what is known of its backend servers, a
// judge, which is a goroutine of its own, and the service's retry limit (service.go); for each route a
// latency.Estimate; the connections to other daemons; which hosts cannot be reached; and what is known
// of subrequests. Each declaration renews this and keeps what was learned. Other parts of the daemon
// tell it of backend servers that drain or are trusted again, and ask for its evidence (targets.go).
//
// # Promises
//
// A caller gets the whole answer to its own request or a failure whose code says what is known. Nothing
// that has been given up is held back: the work of attempts that are no longer needed is cancelled.
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

// idleTimeout is how long an idle connection to another daemon is kept.
// It is shorter than the daemons keep theirs, so that a request seldom
// meets a connection that is just being closed.
const idleTimeout = 45 * time.Second

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
	// ShouldCompress reports whether bytes to another daemon's address are dear and travel compressed,
	// which they do without TLS alone; nil if none do.
	ShouldCompress func(address string) bool
	// Ping asks another host's daemon for any answer; nil if hosts are not asked.
	Ping func(context.Context, fleet.Host) error
	// OnHostUnresponsive is told of a host that has not answered for long.
	OnHostUnresponsive func(fleet.Host)
	// OnSubrequestEvidence is told what is seen of routes that the backend servers of this host may
	// call; nil if it is of no use.
	OnSubrequestEvidence func([]subrequest.Evidence)
	// AdmitCustomer decides whether a request of the customer is within its limit, and GiveBack
	// takes that back for one that reached no backend server; nil if there are no limits.
	AdmitCustomer  func(customer string) quota.Decision
	RefundCustomer func(customer string)
	// Runs knows what the backend servers of this host run; nil if nothing is known of that.
	Runs *runs.Table
	// Retries is the host's budgets of retries; nil keeps one for the ingress alone.
	Retries *retry.Budgets
	// HostsCounted reports whether the declaration has the hosts that the platform's store listed, so
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
		config.Retries = retry.NewBudgets(retry.Config{StartedAt: time.Now()})
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
	in.subrequest = subrequest.New(subrequest.Config{OnChange: in.logSubrequest})
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
	far := config.ShouldCompress
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
