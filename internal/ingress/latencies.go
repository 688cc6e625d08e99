package ingress

import (
	"sync"

	"github.com/tideliftd/tidelift/internal/latency"
	"github.com/tideliftd/tidelift/internal/route"
)

// latencies holds the latency estimates of the requested routes. They survive a Reconfigure that
// keeps the route.
type latencies struct {
	byRoute sync.Map // of *latency.Estimate, by route.Name
}

// of returns the route's latency estimate, and creates it if necessary.
func (p *latencies) of(name route.Name) *latency.Estimate {
	known, ok := p.byRoute.Load(name)
	if !ok {
		known, _ = p.byRoute.LoadOrStore(name, latency.New())
	}
	return known.(*latency.Estimate)
}

// retain removes the routes for which declared returns false.
func (p *latencies) retain(declared func(route.Name) bool) {
	p.byRoute.Range(func(name, _ any) bool {
		if !declared(name.(route.Name)) {
			p.byRoute.Delete(name)
		}
		return true
	})
}
