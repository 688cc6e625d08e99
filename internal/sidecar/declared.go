package sidecar

import (
	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/fleet"
)

// declared is the declaration of a backend server.
type declared struct {
	fleet.Placement
	// others are the service's other backend servers, except those in evacuated data centres.
	others    []fleet.Placement
	rules     detect.Rules
	evacuated bool // the data centre is evacuated
}

func newDeclared(placement fleet.Placement, index *fleet.Index) *declared {
	d := &declared{
		Placement: placement,
		rules:     detect.RulesOf(placement.Service.Detection),
		evacuated: index.Evacuated(placement.Host.DataCentre),
	}
	for _, other := range placement.Service.BackendServers {
		if other.Name == placement.BackendServer.Name {
			continue
		}
		if found, ok := index.BackendServer(other.Name); ok && !index.Evacuated(found.Host.DataCentre) {
			d.others = append(d.others, found)
		}
	}
	return d
}

func (d *declared) size() admission.Config {
	return admission.Config{Slots: d.BackendServer.Slots, Depth: d.BackendServer.Queue, Salt: d.BackendServer.Name}
}

func (d *declared) adoption() fleet.Adoption { return d.Service.AdoptionIn(d.Host.DataCentre) }
