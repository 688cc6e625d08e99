package membership

import (
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
)

// CheckGone records that an unresponsive host is gone if its record in the store
// is gone, too. The store may lose the record of a live host, and a live host may
// be unreachable from here; in the rare case of both, the host refutes the report.
// Only watchers check, since each check is a call to the store.
func (m *Membership) CheckGone(host fleet.Host) {
	plan := m.config.Plan()
	if !m.config.Registers || plan == nil || !plan.IsWatcher() {
		return
	}
	known, ok := m.known.host(host.Name)
	if !ok || known.Gone {
		return
	}
	if !m.record.IsGone(known) {
		return
	}
	if gone, ok := m.known.setGone(known); ok {
		event.Log(m.config.Logger, event.HostGone, "host", host.Name, "life", known.Incarnation, "version", known.Version)
		m.scheduleApply()
		m.enqueue("", []member.Host{gone})
	}
}
