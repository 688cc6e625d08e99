package ingress

import (
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/detect"
)

// drainingPause is how long a target of a stopping daemon gets no requests. It exceeds the usual
// duration of a planned stop.
const drainingPause = 3 * time.Second

// service returns the state of the service.
func (in *Ingress) service(name string) (*service, bool) {
	current := in.state.Load()
	if current == nil {
		return nil, false
	}
	s, ok := current.services[name]
	return s, ok
}

// Explain returns the evidence that this daemon has on a backend server and the state of its floor.
func (in *Ingress) Explain(service, backendServer string) (detect.Explanation, string, bool) {
	s, ok := in.service(service)
	if !ok {
		return detect.Explanation{}, "", false
	}
	return s.outlierDetector.explain(backendServer)
}

// Pool returns the pool of the service's backend servers.
func (in *Ingress) Pool(service string) (*balance.Pool, bool) {
	s, ok := in.service(service)
	if !ok {
		return nil, false
	}
	return s.pool, true
}

// MarkDraining pauses backend servers that another daemon reports as draining.
func (in *Ingress) MarkDraining(names []string) {
	until := time.Now().Add(drainingPause)
	in.eachTarget(names, func(pool *balance.Pool, target *balance.Target) { pool.Pause(target, until) })
}

// ClearSuspicion clears the suspicion of backend servers.
func (in *Ingress) ClearSuspicion(names []string) {
	in.eachTarget(names, func(pool *balance.Pool, target *balance.Target) { pool.ClearSuspicion(target) })
}

// eachTarget calls f for each target with one of the names.
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
