package operator

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/result"
)

// ListEvacuations returns the data centres and whether they are evacuated.
func (s *server) ListEvacuations(context.Context) ([]operatorapi.Evacuation, error) {
	inForce, err := s.inForce()
	if err != nil {
		return nil, err
	}
	return describeDataCentres(inForce.Index), nil
}

// SetEvacuation begins or ends the evacuation of a data centre.
func (s *server) SetEvacuation(ctx context.Context, r *operatorapi.EvacuationChange) (*operatorapi.Evacuation, error) {
	inForce, err := s.inForce()
	if err != nil {
		return nil, err
	}
	if _, ok := findDataCentre(inForce.Index, r.DataCentre); !ok {
		return nil, result.New(result.NotDeclared).WithDetail("no data centre %q", r.DataCentre)
	}
	if name, ok := serviceWithoutRest(inForce.Index, r.DataCentre); ok && r.Evacuated && !r.Force.Or(false) {
		return nil, result.New(result.NoneLeft).WithDetail("service %q has no backend server in any other data centre that is in use", name)
	}
	if err := s.config.Evacuate(ctx, r.DataCentre, r.Evacuated); err != nil {
		return nil, err
	}
	changed, _ := findDataCentre(inForce.Index, r.DataCentre)
	changed.Evacuated = r.Evacuated
	return &changed, nil
}

// findDataCentre describes the named data centre, or returns false if the fleet has no host there.
func findDataCentre(index *fleet.Index, name string) (operatorapi.Evacuation, bool) {
	for _, d := range describeDataCentres(index) {
		if d.DataCentre == name {
			return d, true
		}
	}
	return operatorapi.Evacuation{}, false
}

// describeDataCentres describes the data centres of the hosts, sorted by name.
func describeDataCentres(index *fleet.Index) []operatorapi.Evacuation {
	servers := make(map[string]int)
	for _, h := range index.Declaration.Hosts {
		servers[h.DataCentre] += 0
	}
	for _, s := range index.Declaration.Services {
		for _, b := range s.BackendServers {
			if h, ok := index.Host(b.Host); ok {
				servers[h.DataCentre]++
			}
		}
	}
	described := make([]operatorapi.Evacuation, 0, len(servers))
	for _, name := range slices.Sorted(maps.Keys(servers)) {
		described = append(described, operatorapi.Evacuation{DataCentre: name, Evacuated: index.Evacuated(name), BackendServers: servers[name]})
	}
	return described
}

// serviceWithoutRest returns the first service, by name, whose backend servers in use are all in the
// data centre, and false if there is none.
func serviceWithoutRest(index *fleet.Index, dataCentre string) (string, bool) {
	services := slices.SortedFunc(slices.Values(index.Declaration.Services), func(a, b fleet.Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, s := range services {
		if len(s.BackendServers) > 0 && !hasRest(index, s, dataCentre) {
			return s.Name, true
		}
	}
	return "", false
}

// hasRest reports whether the service has a backend server in another data centre that is in use.
func hasRest(index *fleet.Index, s fleet.Service, dataCentre string) bool {
	return slices.ContainsFunc(s.BackendServers, func(b fleet.BackendServer) bool {
		h, ok := index.Host(b.Host)
		return ok && h.DataCentre != dataCentre && !index.Evacuated(h.DataCentre)
	})
}
