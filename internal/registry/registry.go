// Package registry keeps the backend servers that register themselves with the
// daemon on their host.
//
// A Registry is the aggregate of one host. It records registrations and returns who
// serves; it has no clock, goroutine or socket. The daemon owns it.
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
//   - Draining is final: whoever has said that it is draining never serves again under
//     that name, whatever late registration still comes.
//   - A registration whose sequence number is not above the last one is late and
//     changes nothing.
//   - Of two incarnations at one address the one that registered last serves. But an
//     incarnation that a younger one has replaced, by its lower sequence number, is taken
//     back only once it has registered twice with no registration of the younger one between:
//     a registration of it may come seconds after its end.
//   - Silence removes nobody. A backend server that cannot reach the daemon may
//     still serve; one that is gone refuses connections, which its requests show.
package registry

import (
	"cmp"
	"maps"
	"slices"
)

// keptLeft bounds how many names that left are remembered. Source: a host has
// one backend server, restarted a few times an hour; a late registration comes
// seconds late.
const keptLeft = 64

// keptReplaced bounds how many incarnations are remembered that others replaced at their
// addresses. Not measured: as many as have left.
const keptReplaced = 64

// Registration is what a backend server says of itself.
type Registration struct {
	// Name is that of this incarnation.
	Name string
	// Service is the service it belongs to.
	Service string
	// Address is the IP:port where it takes requests.
	Address string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining says that it is about to end.
	Draining bool
	// Sequence rises with each registration of an incarnation.
	Sequence int64
}

// Registry is the backend servers of one host.
type Registry struct {
	servers  map[string]Registration // by name, the last registration of each
	holders  map[string]holder       // who serves at an address
	left     []string                // names that said that they are draining, the oldest first
	replaced []string                // names that others replaced, the oldest first
}

// holder is who serves at an address.
type holder struct {
	name string
	// young says that it is younger than the one before it there.
	young bool
	// challenger is one before it that has registered since it last did.
	challenger string
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{servers: make(map[string]Registration), holders: make(map[string]holder)}
}

// Register records a registration and reports whether Serving or Left changed.
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
	last.Sequence = c.Sequence
	return r.holders[c.Address].name == c.Name && last != c
}

// claimAddress lets the incarnation serve at its address if it may, and reports whether it newly does.
func (r *Registry) claimAddress(c Registration, known bool) bool {
	h, held := r.holders[c.Address]
	if held && h.name == c.Name {
		h.challenger = ""
		r.holders[c.Address] = h
		return false
	}
	if held && known && h.young && h.challenger != c.Name {
		h.challenger = c.Name
		r.holders[c.Address] = h
		return false
	}
	next := holder{name: c.Name}
	if held {
		next.young = !known && c.Sequence < r.servers[h.name].Sequence
		r.addReplaced(h.name)
	}
	r.holders[c.Address] = next
	return true
}

// addReplaced remembers that an incarnation was replaced, and forgets the oldest such.
func (r *Registry) addReplaced(name string) {
	r.replaced = append(r.replaced, name)
	if len(r.replaced) <= keptReplaced {
		return
	}
	oldest := r.replaced[0]
	r.replaced = r.replaced[1:]
	if !r.Serves(oldest) && !slices.Contains(r.replaced, oldest) {
		delete(r.servers, oldest)
	}
}

// Serves reports whether the incarnation serves at an address.
func (r *Registry) Serves(name string) bool {
	server, ok := r.servers[name]
	return ok && r.holders[server.Address].name == name
}

// Leave records that a backend server ends, and reports whether that was not known.
func (r *Registry) Leave(name string) bool {
	if slices.Contains(r.left, name) {
		return false
	}
	r.leave(name)
	return true
}

// RestoreLeft records names that left in an earlier incarnation of the daemon, and reports whether one was not known.
func (r *Registry) RestoreLeft(names []string) bool {
	changed := false
	for _, name := range names {
		changed = r.Leave(name) || changed
	}
	return changed
}

// leave removes a backend server for good.
func (r *Registry) leave(name string) {
	r.left = append(r.left, name)
	r.left = r.left[max(0, len(r.left)-keptLeft):]
	if r.Serves(name) {
		delete(r.holders, r.servers[name].Address)
	}
	delete(r.servers, name)
}

// Serving returns those that serve, in the order of their names.
func (r *Registry) Serving() []Registration {
	var serving []Registration
	for h := range maps.Values(r.holders) {
		serving = append(serving, r.servers[h.name])
	}
	slices.SortFunc(serving, func(a, b Registration) int { return cmp.Compare(a.Name, b.Name) })
	return serving
}

// Left returns the names that left, the oldest first.
func (r *Registry) Left() []string { return slices.Clone(r.left) }
