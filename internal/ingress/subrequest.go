package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/route"
	"github.com/tideliftd/tidelift/internal/subrequest"
)

// subrequestCounters count the subrequests of this host's backend servers to a service, by whether
// the run that sent them was a retry.
type subrequestCounters struct{ ofFirst, ofRetry tally.Counter }

func newSubrequestCounters(scope tally.Scope, service string) subrequestCounters {
	counter := func(of string) tally.Counter {
		return scope.Tagged(map[string]string{"service": service, "of": of}).Counter("ingress_subrequests")
	}
	return subrequestCounters{ofFirst: counter("first"), ofRetry: counter("repeat")}
}

// countForLimit counts the request for its service's retry limit. A subrequest of a run that was a
// retry counts as a retry; any other request adds to the budget.
func (in *Ingress) countForLimit(r *request, now time.Time) {
	run, ok := in.config.Runs.Caller(now, in.requestID(r.Request))
	if !ok {
		in.config.Retries.RecordRequest(now, r.serviceName)
		return
	}
	// If a call of a long request is lost, so is that request.
	r.attemptRequest.Long = r.attemptRequest.Long || run.Long
	r.countsAsRetry = in.config.Retries.RecordCall(now, run, r.serviceName)
	r.sentByRetry = run.Retry
	if run.Retry {
		r.service.subrequests.ofRetry.Inc(1)
		return
	}
	r.service.subrequests.ofFirst.Inc(1)
}

// endRetry ends a request that was counted as a retry on admission.
func (in *Ingress) endRetry(r *request) {
	if r.countsAsRetry {
		in.config.Retries.End(time.Now(), r.serviceName, r.reached.Load())
	}
}

// reportFailed records that a request failed, since that may fail the backend server of this host
// that sent it. A request whose caller has disconnected is ignored, as the caller failed first.
func (in *Ingress) reportFailed(r *request, err error) {
	if !r.mayBeSubrequest {
		return
	}
	if code := result.From(err).Code; code.Status != result.StatusCallerGone {
		in.subrequest.Failed(time.Now(), r.route)
	}
}

// ServerAnswered records whether an answer of a backend server of this host was good or an error.
func (in *Ingress) ServerAnswered(good bool) {
	updates := in.subrequest.Answered(time.Now(), good)
	if len(updates) > 0 && in.config.OnSubrequestEvidence != nil {
		in.config.OnSubrequestEvidence(updates)
	}
}

// MergeSubrequestEvidence merges the evidence of another host of the same service on routes that
// its backend servers may call, and returns the routes that are known to be called.
func (in *Ingress) MergeSubrequestEvidence(evidence []subrequest.Evidence) []route.Name {
	var known []route.Name
	for _, e := range evidence {
		if in.subrequest.AddRemoteEvidence(e) {
			known = append(known, e.Route)
		}
	}
	return known
}

// MarkSubrequestRoutes marks routes that, according to another host of the same service, its
// backend servers call.
func (in *Ingress) MarkSubrequestRoutes(routes []route.Name) {
	for _, name := range routes {
		in.subrequest.MarkCalled(name)
	}
}

// logSubrequest logs that a route is classified as called by backend servers, or no longer is.
func (in *Ingress) logSubrequest(name route.Name, called bool) {
	event.Log(in.config.Logger, event.RouteSubrequest, "service", in.config.Service, "host", name.Host, "path", name.Path, "called", called)
}
