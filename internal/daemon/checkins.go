package daemon

import (
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/registry"
)

// checkIns returns who takes the check-ins of this host's backend servers.
func (d *daemon) checkIns() CheckIns {
	return CheckIns{
		CheckIn: func(c registry.CheckIn) {
			if d.members.checkIn(c) {
				d.registered("check-in", c.Name, c.Sequence)
			}
		},
		Leave: func(name string) {
			if d.members.leave(name) {
				d.registered("leave", name, 0)
			}
		},
		OnError: func(err error) { event.Log(d.config.Logger, event.CheckInRefused, "error", err) },
	}
}

// registered puts a change of the own backend servers in force here, and then
// tells others of it.
func (d *daemon) registered(why, name string, sequence int64) {
	self := d.members.self()
	event.Log(d.config.Logger, event.ServersRegistered, "why", why, "backend_server", name, "sequence", sequence, "serving", self.Servers)
	d.retake()
	d.tell("", []member.Host{self})
}
