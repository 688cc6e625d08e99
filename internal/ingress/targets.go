package ingress

import (
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/detect"
)

// drainingPause is how long a target is passed over whose daemon stops. Not measured: a planned stop
// takes about a second; a daemon that is back sooner gets work again only after it.
const drainingPause = 3 * time.Second

// service returns what is kept of the service.
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

// MarkDraining keeps away for a while from backend servers that another daemon says
// take no more work.
func (in *Ingress) MarkDraining(names []string) {
	until := time.Now().Add(drainingPause)
	in.eachTarget(names, func(pool *balance.Pool, target *balance.Target) { pool.Pause(target, until) })
}

// ClearSuspicion records that backend servers are no longer suspected.
func (in *Ingress) ClearSuspicion(names []string) {
	in.eachTarget(names, func(pool *balance.Pool, target *balance.Target) { pool.ClearSuspicion(target) })
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
