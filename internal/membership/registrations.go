package membership

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/registry"
)

// Registrations handles the registrations of this host's backend servers. Register
// and Leave return once the change is in force on this host.
type Registrations struct {
	Register func(registry.Registration) error
	Leave    func(name string)
	OnError  func(error)
}

// Registrations returns the handler functions for registrations.
func (m *Membership) Registrations() Registrations {
	return Registrations{
		Register: func(c registry.Registration) error {
			if !m.mayRegister(c) {
				return errors.Errorf("registration of %s names service %q, which is not declared", c.Name, c.Service)
			}
			if m.known.register(c) {
				m.applyRegistration("check-in", c.Name, c.Sequence)
			}
			if m.known.isLatest(c) {
				m.config.SetCold(c.Name, c.Cold)
			}
			return nil
		},
		Leave:   func(name string) { m.recordLeft("leave", name) },
		OnError: func(err error) { event.Log(m.config.Logger, event.RegistrationRefused, "error", err) },
	}
}

// RecordLeaving records that an answer of a local backend server says that it is leaving, which is final for this
// incarnation of it.
func (m *Membership) RecordLeaving(name string) { m.recordLeft("answer", name) }

func (m *Membership) recordLeft(why, name string) {
	if m.known.leave(name) {
		m.applyRegistration(why, name, 0)
	}
}

// mayRegister reports whether the registration is accepted, which requires a declared
// service. A registration for an undeclared service may come from any process
// and must not take over another backend server's address. All registrations are
// accepted before a declaration is known, and a known backend server may announce
// that it is draining whatever its service.
func (m *Membership) mayRegister(c registry.Registration) bool {
	services, ok := m.config.Services()
	if !ok || c.Draining && m.known.serves(c.Name) {
		return true
	}
	return slices.ContainsFunc(services, func(s fleet.Service) bool { return s.Name == c.Service })
}

// applyRegistration applies a change of the local backend servers on this host, and then
// notifies others.
func (m *Membership) applyRegistration(why, name string, sequence int64) {
	self := m.known.self()
	event.Log(m.config.Logger, event.ServersRegistered, "why", why, "backend_server", name, "sequence", sequence, "serving", self.Servers)
	m.config.Reapply()
	m.enqueue("", []member.Host{self})
}
