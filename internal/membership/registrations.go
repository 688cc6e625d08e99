package membership

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/registry"
)

// Registrations takes what backend servers of this host say of themselves. Each
// returns once that is in force here.
type Registrations struct {
	Register func(registry.Registration) error
	Leave    func(name string)
	OnError  func(error)
}

// Registrations returns what takes the registrations of this host's backend servers.
func (m *Membership) Registrations() Registrations {
	return Registrations{
		Register: func(c registry.Registration) error {
			if !m.serviceKnown(c) {
				return errors.Errorf("check-in of %s names service %q, which is not declared", c.Name, c.Service)
			}
			if m.known.register(c) {
				m.registered("check-in", c.Name, c.Sequence)
			}
			return nil
		},
		Leave: func(name string) {
			if m.known.leave(name) {
				m.registered("leave", name, 0)
			}
		},
		OnError: func(err error) { event.Log(m.config.Logger, event.RegistrationRefused, "error", err) },
	}
}

// serviceKnown reports whether the registration's service is declared. One that is not names no backend
// server: it may come from anybody, and must not take the address of another's. Before a declaration
// is known any is taken, and that a known backend server leaves is taken whatever its service.
func (m *Membership) serviceKnown(c registry.Registration) bool {
	services, ok := m.config.Services()
	if !ok || c.Draining && m.known.serves(c.Name) {
		return true
	}
	return slices.ContainsFunc(services, func(s fleet.Service) bool { return s.Name == c.Service })
}

// registered puts a change of the own backend servers in force here, and then
// tells others of it.
func (m *Membership) registered(why, name string, sequence int64) {
	self := m.known.self()
	event.Log(m.config.Logger, event.ServersRegistered, "why", why, "backend_server", name, "sequence", sequence, "serving", self.Servers)
	m.config.Reapply()
	m.tell("", []member.Host{self})
}
