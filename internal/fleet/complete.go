package fleet

import (
	"math"
	"strings"

	"github.com/go-faster/errors"
)

// Complete fills in the defaults of a declaration that was not read by Parse,
// and returns it.
func (d Declaration) Complete() Declaration {
	d.setDefaults()
	return d
}

// Registered is a backend server that registered itself, with its host.
type Registered struct {
	Service       string
	BackendServer BackendServer
}

// WithRegistered returns the declaration with hosts and backend servers that registered themselves
// beside those that are declared. The floor of a service with a floor share is that share of
// its backend servers, rounded up. Backend servers of services that are not declared are left
// out.
func (d Declaration) WithRegistered(hosts []Host, servers []Registered) Declaration {
	byService := make(map[string][]BackendServer)
	for _, r := range servers {
		r.BackendServer.Queue = queueForSlot * r.BackendServer.Slots
		byService[r.Service] = append(byService[r.Service], r.BackendServer)
	}
	next := d
	next.Hosts = append(append([]Host(nil), d.Hosts...), hosts...)
	next.Services = make([]Service, 0, len(d.Services))
	for _, s := range d.Services {
		s.BackendServers = append(append([]BackendServer(nil), s.BackendServers...), byService[s.Name]...)
		if s.FloorShare > 0 {
			s.Floor = int(math.Ceil(s.FloorShare * float64(len(s.BackendServers))))
		}
		next.Services = append(next.Services, s)
	}
	next.setDefaults()
	return next
}

// queueForSlot is how many requests may wait for each slot of a backend server
// that registered itself. Source: at a quarter of a second each they wait for
// two seconds and a half, which is as long as most routes let them.
const queueForSlot = 10

// Check returns the first thing that is wrong with a declaration whose backend servers register
// themselves, or nil.
func (d Declaration) Check() error {
	known := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || known[s.Name] {
			return errors.Errorf("service %q: want a name of its own", s.Name)
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

// check returns what is wrong with the route if services of those names are declared, or nil.
func (r Route) check(known map[string]bool) error {
	if !strings.HasPrefix(r.Path, "/") {
		return errors.New("the path does not start with /")
	}
	if r.Deadline < 0 || r.Target < 0 || r.Attempts < 0 || r.MaxBody < 0 {
		return errors.New("a limit is below zero")
	}
	parts := r.Parts()
	if len(parts) == 0 {
		return errors.New("neither a service nor a split is given")
	}
	total := 0
	for _, part := range parts {
		if !known[part.Service] {
			return errors.Errorf("service %q is not declared", part.Service)
		}
		if part.Weight < 0 {
			return errors.Errorf("weight %d of service %q is below zero", part.Weight, part.Service)
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
