package fleet

// Index finds the parts of a declaration by name. It is read-only and may be
// shared.
type Index struct {
	// Declaration is what the index was made from.
	Declaration Declaration

	hosts    map[string]Host
	services map[string]Service
	servers  map[string]Placement
	places   map[string]string // the data centre of each address of a host
}

// Placement is a backend server with the service and host it belongs to.
type Placement struct {
	BackendServer BackendServer
	Service       Service
	Host          Host
}

// NewIndex returns the index of a checked declaration.
func NewIndex(d Declaration) *Index {
	index := &Index{
		Declaration: d,
		hosts:       make(map[string]Host, len(d.Hosts)),
		services:    make(map[string]Service, len(d.Services)),
		servers:     make(map[string]Placement),
		places:      make(map[string]string, 2*len(d.Hosts)),
	}
	for _, h := range d.Hosts {
		index.hosts[h.Name] = h
		index.place(h)
	}
	for _, s := range d.Services {
		index.services[s.Name] = s
		for _, b := range s.BackendServers {
			index.servers[b.Name] = Placement{BackendServer: b, Service: s, Host: index.hosts[b.Host]}
		}
	}
	return index
}

// place records the data centre of the host's addresses.
func (x *Index) place(h Host) {
	x.places[h.Peers] = h.DataCentre
	x.places[h.Control] = h.DataCentre
	for _, view := range h.SeenFrom {
		x.places[view.Peers] = h.DataCentre
		x.places[view.Control] = h.DataCentre
	}
}

// DataCentreAt returns the data centre of the host that has the address.
func (x *Index) DataCentreAt(address string) (string, bool) {
	place, ok := x.places[address]
	return place, ok
}

// Host returns the host of that name.
func (x *Index) Host(name string) (Host, bool) {
	h, ok := x.hosts[name]
	return h, ok
}

// Service returns the service of that name.
func (x *Index) Service(name string) (Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// BackendServer returns where the backend server of that name belongs.
func (x *Index) BackendServer(name string) (Placement, bool) {
	p, ok := x.servers[name]
	return p, ok
}

// OnHost returns the backend servers that the host's daemon sends work to, in
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
