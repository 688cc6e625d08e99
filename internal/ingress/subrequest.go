package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/route"
	"github.com/tideliftd/tidelift/internal/subrequest"
)

// callCounters count the subrequests of backend servers of this host to a service, by whether the run
// that sent them was a retry.
type callCounters struct{ ofFirst, ofRetry tally.Counter }

func newCallCounters(scope tally.Scope, service string) callCounters {
	counter := func(of string) tally.Counter {
		return scope.Tagged(map[string]string{"service": service, "of": of}).Counter("ingress_subrequests")
	}
	return callCounters{ofFirst: counter("first"), ofRetry: counter("repeat")}
}

// countForLimit counts the request for its service's retry limit. A call of a run that was a retry counts
// as one itself; any other request earns a part of one.
func (in *Ingress) countForLimit(r *request, now time.Time) {
	run, ok := in.config.Runs.Caller(now, in.requestID(r.Request))
	if !ok {
		in.config.Retries.RecordRequest(now, r.serviceName)
		return
	}
	r.countsAsRetry = in.config.Retries.RecordCall(now, run, r.serviceName)
	r.sentByRetry = run.Retry
	if run.Retry {
		r.service.calls.ofRetry.Inc(1)
		return
	}
	r.service.calls.ofFirst.Inc(1)
}

// endRetry ends what a request counted as a retry from its begin on.
func (in *Ingress) endRetry(r *request) {
	if r.countsAsRetry {
		in.config.Retries.End(time.Now(), r.serviceName, r.reached.Load())
	}
}

// reportFailed records that a request got no answer, which may fail a backend server of this
// host that sent it. One whose caller has gone away failed before.
func (in *Ingress) reportFailed(r *request, err error) {
	if !r.mayBeSubrequest {
		return
	}
	if code := result.From(err).Code; code.Status != result.StatusCallerGone {
		in.subrequest.Failed(time.Now(), r.route)
	}
}

// ServerAnswered records an answer of a backend server of this host: a good one, or one that
// says that it failed.
func (in *Ingress) ServerAnswered(good bool) {
	updates := in.subrequest.Answered(time.Now(), good)
	if len(updates) > 0 && in.config.OnSubrequestEvidence != nil {
		in.config.OnSubrequestEvidence(updates)
	}
}

// MergeSubrequestEvidence records what another host of the same service saw of routes that its backend
// servers may call, and returns those that are known to be called.
func (in *Ingress) MergeSubrequestEvidence(told []subrequest.Evidence) []route.Name {
	var known []route.Name
	for _, e := range told {
		if in.subrequest.AddRemoteEvidence(e) {
			known = append(known, e.Route)
		}
	}
	return known
}

// MarkSubrequestRoutes records what another host of the same service knows: its backend servers call
// the routes.
func (in *Ingress) MarkSubrequestRoutes(routes []route.Name) {
	for _, name := range routes {
		in.subrequest.MarkCalled(name)
	}
}

// logSubrequest logs that a route is taken for called from now on, or no longer.
func (in *Ingress) logSubrequest(name route.Name, called bool) {
	event.Log(in.config.Logger, event.RouteSubrequest, "service", in.config.Service, "host", name.Host, "path", name.Path, "called", called)
}
