package daemon

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/registry"
)

// registrations returns who takes the registrations of this host's backend servers.
func (d *daemon) registrations() Registrations {
	return Registrations{
		Register: func(c registry.Registration) error {
			if !d.serviceKnown(c) {
				return errors.Errorf("check-in of %s names service %q, which is not declared", c.Name, c.Service)
			}
			if d.members.register(c) {
				d.registered("check-in", c.Name, c.Sequence)
			}
			return nil
		},
		Leave: func(name string) {
			if d.members.leave(name) {
				d.registered("leave", name, 0)
			}
		},
		OnError: func(err error) { event.Log(d.config.Logger, event.RegistrationRefused, "error", err) },
	}
}

// serviceKnown says whether the registration's service is declared. One that is not names no backend
// server: it may come from anybody, and must not take the address of another's. Before a declaration
// is known any is taken, and that a known backend server leaves is taken whatever its service.
func (d *daemon) serviceKnown(c registry.Registration) bool {
	current := d.inForce.Load()
	if current == nil || c.Draining && d.members.serves(c.Name) {
		return true
	}
	return slices.ContainsFunc(current.Index.Declaration.Services, func(s fleet.Service) bool { return s.Name == c.Service })
}

// registered puts a change of the own backend servers in force here, and then
// tells others of it.
func (d *daemon) registered(why, name string, sequence int64) {
	self := d.members.self()
	event.Log(d.config.Logger, event.ServersRegistered, "why", why, "backend_server", name, "sequence", sequence, "serving", self.Servers)
	d.retake()
	d.tell("", []member.Host{self})
}
