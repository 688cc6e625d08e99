package daemon

import (
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
)

// checkGone takes it that a silent host is gone if its record in the store is too.
// The store may take the record of a host that lives, and a host that lives may
// not be reached from here; both together are rare, and the host then says so. Few
// daemons look, since each look is a call.
func (d *daemon) checkGone(host fleet.Host) {
	plan := d.plan.Load()
	if !d.registers() || plan == nil || !plan.IsWatcher() {
		return
	}
	known, ok := d.members.host(host.Name)
	if !ok || known.Gone {
		return
	}
	if !d.record.IsGone(host.Name) {
		return
	}
	if gone, ok := d.members.setGone(known); ok {
		event.Log(d.config.Logger, event.HostGone, "host", host.Name, "life", known.Incarnation, "version", known.Version)
		d.retake()
		d.tell("", []member.Host{gone})
	}
}
