package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/registry"
)

const (
	// leaveTimeout bounds how long the confirmation of a leaving is delayed until it is saved. The platform
	// waits a second for a confirmation, which both of these timeouts may delay.
	leaveTimeout = 300 * time.Millisecond
	// restoreTimeout bounds how long a registration waits for the record of an earlier incarnation of this
	// daemon.
	restoreTimeout = 300 * time.Millisecond
)

// Registrations handles the registrations of this host's backend servers. Register
// and Leave return once the change is in force on this host and, if a backend server
// has left, once that is saved or leaveTimeout has passed.
type Registrations struct {
	Register func(registry.Registration) error
	Leave    func(name string)
	OnError  func(error)
}

// Registrations returns the handler functions for registrations.
func (m *Membership) Registrations() Registrations {
	return Registrations{
		Register: m.register,
		Leave: func(name string) {
			if err := member.CheckName(name); err != nil {
				event.Log(m.config.Logger, event.RegistrationRefused, "error", err)
				return
			}
			if m.recordLeft("leave", name) {
				m.saveLeft()
			}
		},
		OnError: func(err error) { event.Log(m.config.Logger, event.RegistrationRefused, "error", err) },
	}
}

// register records a registration of a local backend server.
func (m *Membership) register(c registry.Registration) error {
	if err := serverOf(c).Check(); err != nil {
		return err
	}
	if !m.mayRegister(c) {
		return errors.Errorf("registration of %s names service %q, which is not declared", c.Name, c.Service)
	}
	m.awaitRestored()
	changed, err := m.known.register(c)
	if err != nil {
		return err
	}
	if changed {
		m.applyRegistration("check-in", c.Name, c.Sequence)
		if c.Draining {
			m.saveLeft()
		}
	}
	if m.known.isLatest(c) {
		m.config.SetCold(c.Name, c.Cold)
	}
	return nil
}

// RecordLeaving records that an answer of a local backend server says that it is leaving, which is final for this
// incarnation of it.
func (m *Membership) RecordLeaving(name string) {
	if m.recordLeft("answer", name) {
		m.saveLeft()
	}
}

// recordLeft records that a backend server has left, and reports whether that is new.
func (m *Membership) recordLeft(why, name string) bool {
	if !m.known.leave(name) {
		return false
	}
	m.applyRegistration(why, name, 0)
	return true
}

// awaitRestored waits until the record of an earlier incarnation of this daemon has been read, so that a late registration
// does not return a backend server that has left.
func (m *Membership) awaitRestored() {
	timer := time.NewTimer(restoreTimeout)
	defer timer.Stop()
	select {
	case <-m.record.Written():
	case <-timer.C:
	}
}

// saveLeft sends the list of backend servers that have left to the store and to other daemons, from which a later
// incarnation of this daemon restores it. It returns when all have answered, or after leaveTimeout.
func (m *Membership) saveLeft() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	var saving sync.WaitGroup
	saving.Go(func() {
		if err := m.record.Update(ctx); err != nil {
			event.Log(m.config.Logger, event.LeavingUnsaved, "error", err)
		}
	})
	if plan := m.config.Plan(); plan != nil {
		update := control.HostUpdates{Host: m.config.Self.Name, Hosts: []member.Host{m.known.self()}}
		for _, target := range plan.UpdateTargets() {
			// The client logs a failure, and the update is sent again with the next batch.
			saving.Go(func() { _ = m.config.Peers.CallHost(ctx, target, control.MethodHostUpdates, update, nil) })
		}
	}
	saving.Wait()
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
