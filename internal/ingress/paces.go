package ingress

import (
	"sync"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/pace"
	"github.com/tideliftd/tidelift/internal/route"
)

// paces are the paces of the routes that were asked for. They outlast the declarations
// that have the route.
type paces struct {
	byRoute sync.Map // of *pace.Pace
}

// routeKey tells routes apart.
type routeKey struct {
	host, path string
}

// of returns the route's pace.
func (p *paces) of(match *route.Match) *pace.Pace {
	key := routeKey{match.Host, match.Path}
	known, ok := p.byRoute.Load(key)
	if !ok {
		known, _ = p.byRoute.LoadOrStore(key, pace.New())
	}
	return known.(*pace.Pace)
}

// keep forgets the routes that are not declared any more.
func (p *paces) keep(routes []fleet.Route) {
	declared := make(map[routeKey]bool, len(routes))
	for _, r := range routes {
		declared[routeKey{r.Host, r.Path}] = true
	}
	p.byRoute.Range(func(key, _ any) bool {
		if !declared[key.(routeKey)] {
			p.byRoute.Delete(key)
		}
		return true
	})
}
