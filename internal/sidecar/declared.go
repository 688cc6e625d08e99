package sidecar

import (
	"github.com/tideliftd/tidelift/internal/admission"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/floor"
)

// declared is the declaration of a backend server.
type declared struct {
	*fleet.Placement
	// others are the other backend servers of its floor group, except those in evacuated data
	// centres.
	others    []*fleet.Placement
	floor     int // of the group
	rules     detect.Rules
	evacuated bool // the data centre is evacuated
}

func newDeclared(placement *fleet.Placement, index *fleet.Index) *declared {
	d := &declared{
		Placement: placement,
		rules:     detect.RulesOf(placement.Service.Detection),
		evacuated: index.Evacuated(placement.Host.DataCentre),
	}
	inUse := serversInUse(placement.Service, index)
	groups := floor.GroupCount(len(inUse))
	own := floor.GroupOf(placement.BackendServer.Name, groups)
	for _, server := range inUse {
		if server.BackendServer.Name != placement.BackendServer.Name && floor.GroupOf(server.BackendServer.Name, groups) == own {
			d.others = append(d.others, server)
		}
	}
	d.floor = floor.GroupFloor(placement.Service.Floor, len(inUse), len(d.others)+1)
	return d
}

// serversInUse returns the service's backend servers outside evacuated data centres.
func serversInUse(service *fleet.Service, index *fleet.Index) []*fleet.Placement {
	var inUse []*fleet.Placement
	for _, server := range service.BackendServers {
		if found, ok := index.BackendServer(server.Name); ok && !index.Evacuated(found.Host.DataCentre) {
			inUse = append(inUse, found)
		}
	}
	return inUse
}

func (d *declared) size() admission.Config {
	return admission.Config{Slots: d.BackendServer.Slots, Depth: d.BackendServer.Queue, Salt: d.BackendServer.Name}
}

func (d *declared) adoption() fleet.Adoption { return d.Service.AdoptionIn(d.Host.DataCentre) }
