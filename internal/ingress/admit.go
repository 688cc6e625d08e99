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

// request is an admitted request with the declared settings that apply to it.
type request struct {
	*http.Request
	service         *service
	serviceName     string
	latencyTarget   time.Duration // target for the time to the answer
	deadline        time.Time
	customer        string
	queueCustomer   string // customer under which it is queued
	attemptRequest  attempts.Request
	priority        int
	body            *body.Body
	route           route.Name
	latency         *latency.Estimate // estimate of its route
	mayBeSubrequest bool              // a backend server may have sent it
	sentByRetry     bool              // sent by a run that is itself a retry
	countsAsRetry   bool              // counted as a retry on admission; endRetry ends it
	reached         atomic.Bool       // it reached a backend server, or may have
}

// subrequestPriority is the priority of subrequests. It precedes all other priorities, since
// refusing a subrequest wastes the work already done on the request that sent it.
const subrequestPriority = -1

// slowAfter returns how long an attempt runs before it is slow; zero if attempts are never slow.
func (r *request) slowAfter() time.Duration { return r.latency.SlowAfter(r.latencyTarget) }

// typicalLatency returns the typical latency of the request's route; zero if unknown.
func (r *request) typicalLatency() time.Duration {
	typicalLatency, _ := r.latency.Median()
	return typicalLatency
}

// admission is the result of the admission checks of a request.
type admission struct {
	state    *state
	match    *route.Match
	caller   identity
	timeLeft time.Duration
}

// admit returns the admitted request, or the refusal as an error.
func (in *Ingress) admit(w http.ResponseWriter, r *http.Request, now time.Time) (*request, error) {
	a, e := in.admission(r, now)
	if e != nil {
		return nil, e
	}
	addForwarded(r)
	r.Header.Del(a.state.index.Declaration.Callers.OriginHeader)
	admitted := in.newRequest(w, r, now, a)
	in.prioritizeSubrequest(admitted)
	in.countForLimit(admitted, now)
	return admitted, nil
}

// admission determines the route, the customer and the remaining time of a request, or refuses it.
// The customer's limit is checked last, so that it counts only requests that pass all other checks.
func (in *Ingress) admission(r *http.Request, now time.Time) (a admission, e *result.Error) {
	if a.state, e = in.currentState(); e != nil {
		return a, e
	}
	if e := in.checkRequest(r); e != nil {
		return a, e
	}
	path := route.SentPath(r.URL)
	match, ok := a.state.routes.Find(r.Host, path)
	if !ok {
		return a, result.New(result.NoRoute).WithDetail("host %q, path %q", r.Host, path)
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
	if e := in.checkDeadline(now.Add(a.timeLeft)); e != nil {
		return a, e
	}
	return a, in.checkCustomerLimit(a.caller.name)
}

// newRequest returns the admitted request with the declared settings that apply to it.
func (in *Ingress) newRequest(w http.ResponseWriter, r *http.Request, now time.Time, a admission) *request {
	name := a.match.Choose(rand.Uint64())
	service := a.state.services[name]
	routeName := route.NameOf(a.match.Route)
	// Attempts replace the body. The original request must stay unchanged, since
	// net/http uses its body to decide whether to send 100 Continue.
	own := *r
	effectiveTarget := min(a.match.Target, a.timeLeft)
	admitted := &request{
		Request:       &own,
		service:       service,
		serviceName:   name,
		latencyTarget: effectiveTarget,
		deadline:      now.Add(a.timeLeft),
		customer:      a.caller.name,
		queueCustomer: in.queueCustomer(a.state, a.caller),
		attemptRequest: attempts.Request{
			Service:         &service.attempts,
			NonIdempotent:   !a.match.Idempotent(r.Method),
			Long:            in.isLong(a.match.Target),
			MaxSent:         a.match.Attempts,
			StartedAt:       now,
			LatencyTargetAt: now.Add(effectiveTarget),
		},
		priority: a.caller.priority,
		body:     in.newBody(w, r, a),
		route:    routeName,
		latency:  in.latencies.of(routeName),

		mayBeSubrequest: a.state.mayBeSubrequest(a.caller),
	}
	if in.disabled.latencyTargets {
		admitted.attemptRequest.LatencyTargetAt = admitted.deadline
	}
	return admitted
}

// newBody returns the request's body, which takes memory for the request's customer. All requests
// without a customer share what one customer may have.
func (in *Ingress) newBody(w http.ResponseWriter, r *http.Request, a admission) *body.Body {
	b := body.New(w, r, a.match.MaxBody)
	b.ChargeTo(in.config.BodyMemory, body.Holder{Kind: body.HolderCustomer, Name: a.caller.name})
	return b
}

// isLong reports whether requests of a route with that latency target are long.
func (in *Ingress) isLong(latencyTarget time.Duration) bool {
	return in.config.LongLatencyTarget > 0 && latencyTarget >= in.config.LongLatencyTarget
}

// prioritizeSubrequest gives a subrequest the highest priority in queues, and lets it wait there
// until its deadline.
func (in *Ingress) prioritizeSubrequest(r *request) {
	if in.disabled.subrequests || !r.mayBeSubrequest || !in.subrequest.IsSubrequest(r.route) {
		return
	}
	r.attemptRequest.Subrequest = true
	r.attemptRequest.LatencyTargetAt = r.deadline
	r.priority = subrequestPriority
}

// currentState returns the current state, or a refusal if the daemon is stopping or has no
// declaration.
func (in *Ingress) currentState() (*state, *result.Error) {
	current := in.state.Load()
	if in.stopping.Load() {
		return nil, refusedStopping()
	}
	if current == nil {
		return nil, result.New(result.NotReady).WithRetryAfter(retryafter.NotReady)
	}
	return current, nil
}

// timeLeft returns the shorter of the caller's and the route's deadline.
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

// addForwarded sets the X-Forwarded headers.
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
