package membership

import (
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
)

// CheckGone records that a silent host is gone if its record in the store is, too.
// The store may take the record of a host that lives, and a host that lives may
// not be reached from here; both together are rare, and the host then says so. Few
// daemons check, since each check is a call.
func (m *Membership) CheckGone(host fleet.Host) {
	plan := m.config.Plan()
	if !m.config.Registers || plan == nil || !plan.IsWatcher() {
		return
	}
	known, ok := m.known.host(host.Name)
	if !ok || known.Gone {
		return
	}
	if !m.record.IsGone(host.Name) {
		return
	}
	if gone, ok := m.known.setGone(known); ok {
		event.Log(m.config.Logger, event.HostGone, "host", host.Name, "life", known.Incarnation, "version", known.Version)
		m.config.Reapply()
		m.tell("", []member.Host{gone})
	}
}
