package ingress

import (
	"math/rand/v2"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/customer"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/route"
)

// state is the configuration that requests read. It is immutable once stored.
type state struct {
	index    *fleet.Index
	routes   *route.Table
	services map[string]*service
	// customers is nil if callers need no key.
	customers *customer.Table
}

// service is the state of one service.
type service struct {
	pool            *balance.Pool
	limit           *retryLimit
	outlierDetector *outlierDetector
	rules           detect.Rules
	subrequests     subrequestCounters
	// attempts holds the backend servers and settings that package attempts reads.
	attempts attempts.Service
}

// Reconfigure applies a declaration. Requests in flight continue under the previous one.
func (in *Ingress) Reconfigure(index *fleet.Index) {
	in.mu.Lock()
	defer in.mu.Unlock()
	next := &state{
		index:    index,
		routes:   in.routeTable(index.Declaration.Routes),
		services: make(map[string]*service, len(index.Declaration.Services)),
	}
	next.customers = in.customerTable(index.Declaration)
	in.config.Retries.SetLimits(time.Now(), in.retryLimits(index.Declaration))
	for _, declared := range index.Declaration.Services {
		next.services[declared.Name] = in.reconfigureService(declared, index)
	}
	in.latencies.retain(next.routes.Has)
	in.subrequest.Retain(next.routes.Has)
	old := in.state.Swap(next)
	if old != nil {
		stopRemoved(old, next)
	}
}

// routeTable returns the table of the declared routes. It reuses the current table while the routes
// are unchanged, since hosts change far more often.
func (in *Ingress) routeTable(routes []fleet.Route) *route.Table {
	last := in.state.Load()
	if last != nil && fleet.SameRoutes(last.index.Declaration.Routes, routes) {
		return last.routes
	}
	return route.NewTable(routes)
}

// retryLimits returns the retry limits of the services. Hosts is zero until the hosts
// have been counted, so that no slack is used before.
func (in *Ingress) retryLimits(d fleet.Declaration) map[string]retry.Limit {
	hosts := len(d.Hosts)
	if in.config.ShareUsable != nil && !in.config.ShareUsable() {
		hosts = 0
	}
	limits := make(map[string]retry.Limit, len(d.Services))
	for _, s := range d.Services {
		limits[s.Name] = retry.Limit{Share: s.RetryShare, Slack: s.RetrySlack, Window: s.RetryWindow, Hosts: hosts}
	}
	return limits
}

// stopRemoved stops the outlier detectors of services that are no longer declared.
func stopRemoved(old, next *state) {
	for name, s := range old.services {
		if _, ok := next.services[name]; !ok {
			s.outlierDetector.stop()
		}
	}
}

// reconfigureService returns the service as declared, with the state that was learned under the
// previous declaration.
func (in *Ingress) reconfigureService(declared fleet.Service, index *fleet.Index) *service {
	next := &service{}
	if old, ok := in.service(declared.Name); ok {
		*next = *old
	} else {
		next = in.newService(declared)
	}
	next.rules = detect.RulesOf(declared.Detection)
	next.pool.Reconfigure(declared, index)
	if next.outlierDetector == nil {
		next.outlierDetector = newOutlierDetector(in.config, next.pool)
	}
	next.outlierDetector.reconfigure(declared, index)
	return next
}

// newService returns a service of which nothing is known yet. Its outlier detector is not started.
func (in *Ingress) newService(declared fleet.Service) *service {
	s := &service{
		pool:        balance.NewPool(balance.Config{Host: in.config.Host, DataCentre: in.config.DataCentre, Random: rand.Uint64, Start: in.start}),
		limit:       &retryLimit{budgets: in.config.Retries, service: declared.Name, borrow: in.config.BorrowRetry},
		subrequests: newSubrequestCounters(in.config.Scope, declared.Name),
	}
	s.attempts = attempts.Service{
		Pool: s.pool, RetryLeft: s.limit.likelyAvailable,
		IgnoreHanging: in.disabled.hangChecks, NoHedges: in.disabled.hedges,
	}
	return s
}

// overdueLimit returns how long an attempt at the target may take before it is overdue; zero if
// there are no other targets to compare it with.
func (s *service) overdueLimit(target *balance.Target) time.Duration {
	return s.rules.OverdueLimit(target.TypicalLatency())
}
