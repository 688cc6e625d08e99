package ingress

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/latency"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
	"github.com/tideliftd/tidelift/internal/route"
)

// request is a caller's request with what the declaration says of it.
type request struct {
	*http.Request
	service         *service
	serviceName     string
	latencyTarget   time.Duration // within which an answer is worth most
	deadline        time.Time
	customer        string
	queueCustomer   string // whose turns it takes in queues
	terms           attempts.Terms
	priority        int
	body            *body.Body
	route           route.Name
	latency         *latency.Estimate // of its route
	mayBeSubrequest bool              // nothing rules out that a backend server sent it
	sentByRetry     bool              // a run that is a retry itself has sent it
	countsAsRetry   bool              // as such it counts here, and must be ended
	reached         atomic.Bool       // a backend server, or may have
}

// subrequestPriority is the rank of what a backend server calls while it runs a request: before
// all new work, since a refusal wastes the work on that request.
const subrequestPriority = -1

// slowAfter returns how long an attempt runs before it is slow; zero if none is.
func (r *request) slowAfter() time.Duration { return r.latency.SlowAfter(r.latencyTarget) }

// usual returns how long an answer to the request usually takes; zero if that is not
// known.
func (r *request) usual() time.Duration {
	usual, _ := r.latency.Usual()
	return usual
}

// admit finds the service, the deadline and the customer of a request.
func (in *Ingress) admit(w http.ResponseWriter, r *http.Request, now time.Time) (*request, error) {
	current, e := in.ready()
	if e != nil {
		return nil, e
	}
	if e := in.check(r); e != nil {
		return nil, e
	}
	match, ok := current.routes.Find(r.Host, r.URL.Path)
	if !ok {
		return nil, result.New(result.NoRoute).WithDetail("host %q, path %q", r.Host, r.URL.Path)
	}
	if r.ContentLength > match.MaxBody {
		return nil, result.New(result.BodyTooLarge).WithDetail("%d bytes; at most %d", r.ContentLength, match.MaxBody)
	}
	callers := current.index.Declaration.Callers
	who, e := current.identify(r, match)
	if e != nil {
		return nil, e
	}
	left, e := timeLeft(r, callers, match)
	if e != nil {
		return nil, e
	}
	name := match.Choose(rand.Uint64())
	service := current.services[name]
	routeName := route.NameOf(match.Route)
	if e := in.withinLimit(who.name); e != nil {
		return nil, e
	}
	addForwarded(r)
	r.Header.Del(callers.OriginHeader)
	// The attempts change the body. net/http must keep its own request as it
	// was, since by its body it knows whether the caller waits for 100 Continue.
	own := *r
	admitted := &request{
		Request:       &own,
		service:       service,
		serviceName:   name,
		latencyTarget: min(match.Target, left),
		deadline:      now.Add(left),
		customer:      who.name,
		queueCustomer: in.queueCustomer(current, who),
		terms: attempts.Terms{
			Service:       &service.attempts,
			NonIdempotent: !match.Idempotent(r.Method),
			MaxSent:       match.Attempts,
			Began:         now,
			TargetAt:      now.Add(min(match.Target, left)),
		},
		priority: who.priority,
		body:     body.New(w, r, match.MaxBody),
		route:    routeName,
		latency:  in.latencies.of(routeName),

		mayBeSubrequest: current.mayBeSubrequest(who),
	}
	if in.disabled.latencyTargets {
		admitted.terms.TargetAt = admitted.deadline
	}
	if admitted.mayBeSubrequest && in.subrequest.Is(admitted.route) && !in.disabled.subrequests {
		admitted.terms.Subrequest = true
		admitted.terms.TargetAt = admitted.deadline
		admitted.priority = subrequestPriority
	}
	in.countForLimit(admitted, now)
	return admitted, nil
}

// ready returns the state in force, unless the daemon is stopping or has none.
func (in *Ingress) ready() (*state, *result.Error) {
	current := in.state.Load()
	if in.stopping.Load() {
		return nil, result.New(result.Stopping).WithRetryAfter(retryafter.NotReady)
	}
	if current == nil {
		return nil, result.New(result.NotReady).WithRetryAfter(retryafter.NotReady)
	}
	return current, nil
}

// timeLeft returns the caller's deadline or the route's, whichever is less.
func timeLeft(r *http.Request, callers fleet.Callers, match *route.Match) (time.Duration, *result.Error) {
	text := r.Header.Get(callers.DeadlineHeader)
	if text == "" {
		return match.Deadline, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, result.New(result.BadDeadline).WithDetail("%s is %q", callers.DeadlineHeader, text)
	}
	return min(match.Deadline, time.Duration(millis)*time.Millisecond), nil
}

// addForwarded says whom the request came from.
func addForwarded(r *http.Request) {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	if before := r.Header.Get("X-Forwarded-For"); before != "" {
		caller = before + ", " + caller
	}
	r.Header.Set("X-Forwarded-For", caller)
	if r.Header.Get("X-Forwarded-Host") == "" {
		r.Header.Set("X-Forwarded-Host", r.Host)
	}
	if r.Header.Get("X-Forwarded-Proto") == "" {
		r.Header.Set("X-Forwarded-Proto", "http")
	}
}
