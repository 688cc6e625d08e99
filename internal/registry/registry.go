// Package registry keeps the backend servers that register themselves with the
// daemon on their host.
//
// A Registry is the aggregate of one host. It records registrations and returns the
// backend servers in service. It has no clock, goroutine or socket, and is owned by
// the daemon.
//
// # Usage
//
//	r := registry.New()
//	changed := r.Register(registry.Registration{Name: "i-7f3a", Service: "lookup", Address: "10.1.0.38:8145", Slots: 4, Sequence: 1})
//	changed = r.Leave("i-7f3a")
//	for _, server := range r.Serving() { ... }
//
// # Rules
//
//   - Each start of a backend server is an incarnation with a name of its own.
//   - Draining is final: an incarnation that has reported that it is draining never
//     serves again under that name, even if a late registration arrives.
//   - A registration of a known name that names another service, or that lacks the
//     start which the name's earlier ones have, comes from another writer (Check).
//   - A registration whose sequence number is not higher than the previous one is
//     late and changes nothing.
//   - Of two incarnations at one address, the one that registered last serves. An
//     incarnation that was replaced by a newer one, recognized by its lower sequence
//     number, serves again only after it has registered twice with no registration
//     of the newer one in between, since a late registration may arrive seconds
//     after the incarnation has ended.
//   - A missing registration removes no backend server. One that cannot reach the
//     daemon may still serve; one that is gone refuses connections, which requests
//     detect.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// maxLeft bounds how many names of backend servers that left are remembered. It
// exceeds the restarts of a host within the seconds for which a registration may be
// late.
const maxLeft = 64

// maxReplaced bounds how many replaced incarnations are remembered.
const maxReplaced = 64

// Registration is what a backend server reports about itself.
type Registration struct {
	// Name identifies the incarnation.
	Name string
	// Service is the name of the service that the backend server belongs to.
	Service string
	// Address is the IP:port at which it accepts requests.
	Address string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Draining reports that the backend server is about to end.
	Draining bool
	// Cold is how much longer it is slow after its start.
	Cold time.Duration
	// Sequence increases with each registration of an incarnation.
	Sequence int64
	// StartedAt is when its process started, in Unix milliseconds; zero if it does not say.
	StartedAt int64
}

// Registry holds the backend servers of one host.
type Registry struct {
	servers  map[string]Registration // last registration by name
	holders  map[string]holder       // incarnation in service by address
	left     []string                // names that left, oldest first
	replaced []string                // replaced names, oldest first
}

// holder is the incarnation in service at an address.
type holder struct {
	name string
	// newer reports that the incarnation is newer than the one that it replaced.
	newer bool
	// challenger is a replaced incarnation that has registered since this one last did.
	challenger string
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{servers: make(map[string]Registration), holders: make(map[string]holder)}
}

// Check returns an error if another writer must have sent the registration: its name is known, but of another service, or with a start
// that the registration lacks. A backend server that starts again under its name may be of another service.
func (r *Registry) Check(c Registration) error {
	last, known := r.servers[c.Name]
	switch {
	case !known:
		return nil
	case c.StartedAt == 0 && last.StartedAt != 0:
		return errors.Errorf("registration of %s lacks its start", c.Name)
	case c.Service != last.Service && c.StartedAt == last.StartedAt:
		return errors.Errorf("registration of %s names service %q; it is of %q", c.Name, c.Service, last.Service)
	}
	return nil
}

// Register records a registration that Check accepts, and reports whether the result of Serving or Left changed.
func (r *Registry) Register(c Registration) bool {
	if slices.Contains(r.left, c.Name) {
		return false
	}
	if c.Draining {
		r.leave(c.Name)
		return true
	}
	last, known := r.servers[c.Name]
	if known && c.Sequence <= last.Sequence {
		return false
	}
	if last.Address != c.Address && r.Serves(c.Name) {
		delete(r.holders, last.Address)
	}
	r.servers[c.Name] = c
	if r.claimAddress(c, known) {
		return true
	}
	last.Sequence, last.Cold = c.Sequence, c.Cold
	return r.holders[c.Address].name == c.Name && last != c
}

// claimAddress puts the incarnation into service at its address if the rules allow
// it, and reports whether it newly is.
func (r *Registry) claimAddress(c Registration, known bool) bool {
	h, held := r.holders[c.Address]
	if held && h.name == c.Name {
		h.challenger = ""
		r.holders[c.Address] = h
		return false
	}
	if held && known && h.newer && h.challenger != c.Name {
		h.challenger = c.Name
		r.holders[c.Address] = h
		return false
	}
	next := holder{name: c.Name}
	if held {
		next.newer = !known && c.Sequence < r.servers[h.name].Sequence
		r.addReplaced(h.name)
	}
	r.holders[c.Address] = next
	return true
}

// addReplaced remembers a replaced incarnation and forgets the oldest one beyond maxReplaced.
func (r *Registry) addReplaced(name string) {
	r.replaced = append(r.replaced, name)
	if len(r.replaced) <= maxReplaced {
		return
	}
	oldest := r.replaced[0]
	r.replaced = r.replaced[1:]
	if !r.Serves(oldest) && !slices.Contains(r.replaced, oldest) {
		delete(r.servers, oldest)
	}
}

// Serves reports whether the incarnation is in service at its address.
func (r *Registry) Serves(name string) bool {
	server, ok := r.servers[name]
	return ok && r.holders[server.Address].name == name
}

// IsLatest reports whether the registration is the last one recorded of a backend server in
// service.
func (r *Registry) IsLatest(c Registration) bool { return r.Serves(c.Name) && r.servers[c.Name] == c }

// Leave records that a backend server ends, and reports whether that is new.
func (r *Registry) Leave(name string) bool {
	if slices.Contains(r.left, name) {
		return false
	}
	r.leave(name)
	return true
}

// RestoreLeft records names that left in an earlier incarnation of the daemon, and
// reports whether any of them is new.
func (r *Registry) RestoreLeft(names []string) bool {
	changed := false
	for _, name := range names {
		changed = r.Leave(name) || changed
	}
	return changed
}

// leave removes a backend server permanently.
func (r *Registry) leave(name string) {
	r.left = append(r.left, name)
	r.left = r.left[max(0, len(r.left)-maxLeft):]
	if r.Serves(name) {
		delete(r.holders, r.servers[name].Address)
	}
	delete(r.servers, name)
}

// Serving returns the incarnations in service, sorted by name.
func (r *Registry) Serving() []Registration {
	var serving []Registration
	for h := range maps.Values(r.holders) {
		serving = append(serving, r.servers[h.name])
	}
	slices.SortFunc(serving, func(a, b Registration) int { return cmp.Compare(a.Name, b.Name) })
	return serving
}

// Left returns the names of the backend servers that left, oldest first.
func (r *Registry) Left() []string { return slices.Clone(r.left) }
