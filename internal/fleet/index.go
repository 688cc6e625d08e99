package fleet

import (
	"slices"
	"sync"
)

// Index finds the parts of a declaration by name. It is read-only and safe for
// concurrent use.
type Index struct {
	// Declaration is the indexed declaration.
	Declaration Declaration

	hosts       map[string]*Host
	services    map[string]*Service
	servers     map[string]*Placement
	dataCentres func() map[string]string // by address of a host; built when it is first needed
	evacuated   []string                 // names of data centres
}

// Placement is a backend server with its service and host. It is read-only.
type Placement struct {
	BackendServer BackendServer
	Service       *Service
	Host          Host
}

// NewIndex returns an index of a checked declaration.
func NewIndex(d Declaration) *Index {
	count := 0
	for i := range d.Services {
		count += len(d.Services[i].BackendServers)
	}
	index := &Index{
		Declaration: d,
		hosts:       make(map[string]*Host, len(d.Hosts)),
		services:    make(map[string]*Service, len(d.Services)),
		servers:     make(map[string]*Placement, count),
		dataCentres: sync.OnceValue(func() map[string]string { return dataCentresByAddress(d.Hosts) }),
	}
	for i := range d.Hosts {
		index.hosts[d.Hosts[i].Name] = &d.Hosts[i]
	}
	placements := make([]Placement, 0, count)
	for i := range d.Services {
		s := &d.Services[i]
		index.services[s.Name] = s
		for _, b := range s.BackendServers {
			host, _ := index.Host(b.Host)
			placements = append(placements, Placement{BackendServer: b, Service: s, Host: host})
			index.servers[b.Name] = &placements[len(placements)-1]
		}
	}
	return index
}

// WithEvacuated returns the index with the named data centres evacuated.
func (x *Index) WithEvacuated(dataCentres []string) *Index {
	next := *x
	next.evacuated = dataCentres
	return &next
}

// Evacuated reports whether the data centre is evacuated: its backend servers receive no new
// requests.
func (x *Index) Evacuated(dataCentre string) bool {
	return slices.Contains(x.evacuated, dataCentre)
}

// SameRoutes reports whether a and b are the same slice in memory, as SameCustomers does.
func SameRoutes(a, b []Route) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// dataCentresByAddress returns the data centre of each of the hosts' addresses.
func dataCentresByAddress(hosts []Host) map[string]string {
	byAddress := make(map[string]string, 2*len(hosts))
	for _, h := range hosts {
		byAddress[h.Peers] = h.DataCentre
		byAddress[h.Control] = h.DataCentre
		for _, view := range h.SeenFrom {
			byAddress[view.Peers] = h.DataCentre
			byAddress[view.Control] = h.DataCentre
		}
	}
	return byAddress
}

// DataCentreAt returns the data centre of the host with the address.
func (x *Index) DataCentreAt(address string) (string, bool) {
	dataCentre, ok := x.dataCentres()[address]
	return dataCentre, ok
}

// Host returns the named host.
func (x *Index) Host(name string) (Host, bool) {
	h, ok := x.hosts[name]
	if !ok {
		return Host{}, false
	}
	return *h, true
}

// Service returns the named service.
func (x *Index) Service(name string) (Service, bool) {
	s, ok := x.services[name]
	if !ok {
		return Service{}, false
	}
	return *s, true
}

// BackendServer returns the named backend server with its service and host.
func (x *Index) BackendServer(name string) (*Placement, bool) {
	p, ok := x.servers[name]
	return p, ok
}

// OnHost returns the backend servers that the host's daemon sends requests to, in
// the order of the declaration.
func (x *Index) OnHost(host string) []*Placement {
	var found []*Placement
	for i := range x.Declaration.Services {
		for _, b := range x.Declaration.Services[i].BackendServers {
			if b.Host == host {
				found = append(found, x.servers[b.Name])
			}
		}
	}
	return found
}
