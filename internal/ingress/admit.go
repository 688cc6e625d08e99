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
	queueCustomer   string // as which it waits in queues
	terms           attempts.Request
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
	usual, _ := r.latency.Median()
	return usual
}

// admission is what was found out about a request that may be served.
type admission struct {
	state    *state
	match    *route.Match
	caller   identity
	timeLeft time.Duration
}

// admit returns a request as it is served, or the refusal.
func (in *Ingress) admit(w http.ResponseWriter, r *http.Request, now time.Time) (*request, error) {
	a, e := in.admission(r)
	if e != nil {
		return nil, e
	}
	addForwarded(r)
	r.Header.Del(a.state.index.Declaration.Callers.OriginHeader)
	admitted := in.newRequest(w, r, now, a)
	in.putSubrequestFirst(admitted)
	in.countForLimit(admitted, now)
	return admitted, nil
}

// admission finds the route, the customer and the time left of a request, or refuses it: first for
// what is wrong with it, last for its customer's limit, which counts what is not refused before.
func (in *Ingress) admission(r *http.Request) (a admission, e *result.Error) {
	if a.state, e = in.ready(); e != nil {
		return a, e
	}
	if e := in.check(r); e != nil {
		return a, e
	}
	match, ok := a.state.routes.Find(r.Host, r.URL.Path)
	if !ok {
		return a, result.New(result.NoRoute).WithDetail("host %q, path %q", r.Host, r.URL.Path)
	}
	if r.ContentLength > match.MaxBody {
		return a, result.New(result.BodyTooLarge).WithDetail("%d bytes; at most %d", r.ContentLength, match.MaxBody)
	}
	a.match = match
	if a.caller, e = a.state.identify(r, match); e != nil {
		return a, e
	}
	if a.timeLeft, e = timeLeft(r, a.state.index.Declaration.Callers, match); e != nil {
		return a, e
	}
	return a, in.withinLimit(a.caller.name)
}

// newRequest returns the request with what the declaration says of it.
func (in *Ingress) newRequest(w http.ResponseWriter, r *http.Request, now time.Time, a admission) *request {
	name := a.match.Choose(rand.Uint64())
	service := a.state.services[name]
	routeName := route.NameOf(a.match.Route)
	// The attempts change the body. net/http must keep its own request as it
	// was, since by its body it knows whether the caller waits for 100 Continue.
	own := *r
	target := min(a.match.Target, a.timeLeft)
	made := &request{
		Request:       &own,
		service:       service,
		serviceName:   name,
		latencyTarget: target,
		deadline:      now.Add(a.timeLeft),
		customer:      a.caller.name,
		queueCustomer: in.queueCustomer(a.state, a.caller),
		terms: attempts.Request{
			Service:       &service.attempts,
			NonIdempotent: !a.match.Idempotent(r.Method),
			MaxSent:       a.match.Attempts,
			StartedAt:     now,
			TargetAt:      now.Add(target),
		},
		priority: a.caller.priority,
		body:     body.New(w, r, a.match.MaxBody),
		route:    routeName,
		latency:  in.latencies.of(routeName),

		mayBeSubrequest: a.state.mayBeSubrequest(a.caller),
	}
	if in.disabled.latencyTargets {
		made.terms.TargetAt = made.deadline
	}
	return made
}

// putSubrequestFirst gives a request that a backend server sent while it runs another the first
// place in queues, and all of its time to wait there.
func (in *Ingress) putSubrequestFirst(r *request) {
	if in.disabled.subrequests || !r.mayBeSubrequest || !in.subrequest.IsSubrequest(r.route) {
		return
	}
	r.terms.Subrequest = true
	r.terms.TargetAt = r.deadline
	r.priority = subrequestPriority
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

// addForwarded adds the headers that say where the request came from.
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
