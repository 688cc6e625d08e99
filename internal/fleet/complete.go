package fleet

import (
	"math"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Complete returns the declaration with defaults for omitted fields, for a declaration
// that was not read by Parse.
func (d Declaration) Complete() Declaration {
	d.setDefaults()
	return d
}

// Registered is a backend server that registered itself, with its service.
type Registered struct {
	Service       string
	BackendServer BackendServer
}

// WithRegistered returns the declaration with the registered hosts and backend servers added
// to the declared ones. The floor of a service with a floor share is that share of its backend
// servers outside the evacuated data centres, rounded up. Backend servers of undeclared services
// are omitted.
func (d Declaration) WithRegistered(hosts []Host, servers []Registered, evacuated []string) Declaration {
	byService := make(map[string][]BackendServer)
	for _, r := range servers {
		r.BackendServer.Queue = queuePerSlot * r.BackendServer.Slots
		byService[r.Service] = append(byService[r.Service], r.BackendServer)
	}
	next := d
	next.Hosts = slices.Concat(d.Hosts, hosts)
	next.Services = make([]Service, 0, len(d.Services))
	for _, s := range d.Services {
		s.BackendServers = slices.Concat(s.BackendServers, byService[s.Name])
		if s.FloorShare > 0 {
			s.Floor = int(math.Ceil(s.FloorShare * float64(next.countInUse(s.BackendServers, evacuated))))
		}
		next.Services = append(next.Services, s)
	}
	next.setDefaults()
	return next
}

// countInUse returns how many of the backend servers are outside the evacuated data centres.
func (d Declaration) countInUse(servers []BackendServer, evacuated []string) int {
	if len(evacuated) == 0 {
		return len(servers)
	}
	dataCentres := make(map[string]string, len(d.Hosts))
	for _, h := range d.Hosts {
		dataCentres[h.Name] = h.DataCentre
	}
	count := 0
	for _, s := range servers {
		if !slices.Contains(evacuated, dataCentres[s.Host]) {
			count++
		}
	}
	return count
}

// queuePerSlot is the number of requests that may wait for each slot of a backend
// server that registered itself.
const queuePerSlot = 10

// Check returns the first problem of a declaration whose backend servers register themselves, or
// nil.
func (d Declaration) Check() error {
	known := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || known[s.Name] {
			return errors.Errorf("service %q: name is empty or not unique", s.Name)
		}
		known[s.Name] = true
	}
	for _, r := range d.Routes {
		if err := r.check(known); err != nil {
			return errors.Wrapf(err, "route of host %q and path %q", r.Host, r.Path)
		}
	}
	var first error
	checkCustomers(d.Customers, func(path, wrong, want string) {
		if first == nil {
			first = errors.Errorf("%s %s; want %s", strings.TrimPrefix(path, "$."), wrong, want)
		}
	})
	return first
}

// check returns the first problem of the route, or nil. The map holds the names of the declared
// services.
func (r Route) check(known map[string]bool) error {
	if !strings.HasPrefix(r.Path, "/") {
		return errors.New("path does not start with /")
	}
	if r.Deadline < 0 || r.Target < 0 || r.Attempts < 0 || r.MaxBody < 0 {
		return errors.New("deadline, target, attempts or maximum body size is negative")
	}
	parts := r.Parts()
	if len(parts) == 0 {
		return errors.New("neither service nor split is declared")
	}
	total := 0
	for _, part := range parts {
		if !known[part.Service] {
			return errors.Errorf("service %q is not declared", part.Service)
		}
		if part.Weight < 0 {
			return errors.Errorf("weight %d of service %q is negative", part.Weight, part.Service)
		}
		total += part.Weight
	}
	if total == 0 {
		return errors.New("all weights are zero")
	}
	return nil
}

// Parts returns the services that share the route's requests.
func (r Route) Parts() []Part {
	if len(r.Split) > 0 {
		return r.Split
	}
	if r.Service == "" {
		return nil
	}
	return []Part{{Service: r.Service, Weight: 1}}
}
