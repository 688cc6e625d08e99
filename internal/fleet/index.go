package fleet

import "slices"

// Index finds the parts of a declaration by name. It is read-only and safe for
// concurrent use.
type Index struct {
	// Declaration is the indexed declaration.
	Declaration Declaration

	hosts       map[string]Host
	services    map[string]Service
	servers     map[string]Placement
	dataCentres map[string]string // by address of a host
	evacuated   []string          // names of data centres
}

// Placement is a backend server with its service and host.
type Placement struct {
	BackendServer BackendServer
	Service       Service
	Host          Host
}

// NewIndex returns an index of a checked declaration.
func NewIndex(d Declaration) *Index {
	index := &Index{
		Declaration: d,
		hosts:       make(map[string]Host, len(d.Hosts)),
		services:    make(map[string]Service, len(d.Services)),
		servers:     make(map[string]Placement),
		dataCentres: make(map[string]string, 2*len(d.Hosts)),
	}
	for _, h := range d.Hosts {
		index.hosts[h.Name] = h
		index.addAddresses(h)
	}
	for _, s := range d.Services {
		index.services[s.Name] = s
		for _, b := range s.BackendServers {
			index.servers[b.Name] = Placement{BackendServer: b, Service: s, Host: index.hosts[b.Host]}
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

// addAddresses records the data centre of each of the host's addresses.
func (x *Index) addAddresses(h Host) {
	x.dataCentres[h.Peers] = h.DataCentre
	x.dataCentres[h.Control] = h.DataCentre
	for _, view := range h.SeenFrom {
		x.dataCentres[view.Peers] = h.DataCentre
		x.dataCentres[view.Control] = h.DataCentre
	}
}

// DataCentreAt returns the data centre of the host with the address.
func (x *Index) DataCentreAt(address string) (string, bool) {
	dataCentre, ok := x.dataCentres[address]
	return dataCentre, ok
}

// Host returns the named host.
func (x *Index) Host(name string) (Host, bool) {
	h, ok := x.hosts[name]
	return h, ok
}

// Service returns the named service.
func (x *Index) Service(name string) (Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// BackendServer returns the named backend server with its service and host.
func (x *Index) BackendServer(name string) (Placement, bool) {
	p, ok := x.servers[name]
	return p, ok
}

// OnHost returns the backend servers that the host's daemon sends requests to, in
// the order of the declaration.
func (x *Index) OnHost(host string) []Placement {
	var found []Placement
	for _, s := range x.Declaration.Services {
		for _, b := range s.BackendServers {
			if b.Host == host {
				found = append(found, x.servers[b.Name])
			}
		}
	}
	return found
}
