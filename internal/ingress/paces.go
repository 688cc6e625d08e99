package ingress

import (
	"sync"

	"github.com/tideliftd/tidelift/internal/pace"
	"github.com/tideliftd/tidelift/internal/route"
)

// paces are the paces of the routes that were asked for. They outlast the declarations
// that have the route.
type paces struct {
	byRoute sync.Map // of *pace.Pace, by route.Name
}

// of returns the route's pace.
func (p *paces) of(name route.Name) *pace.Pace {
	known, ok := p.byRoute.Load(name)
	if !ok {
		known, _ = p.byRoute.LoadOrStore(name, pace.New())
	}
	return known.(*pace.Pace)
}

// keep forgets the routes for which the function says no.
func (p *paces) keep(declared func(route.Name) bool) {
	p.byRoute.Range(func(name, _ any) bool {
		if !declared(name.(route.Name)) {
			p.byRoute.Delete(name)
		}
		return true
	})
}
