package daemon

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
)

// recordTimeout bounds the question to the store whether a host has a record. Not measured: as long as
// a call to another daemon may take; the host is asked about again if it stays silent.
const recordTimeout = 2 * time.Second

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
	if !d.recordIsGone(host.Name) {
		return
	}
	if gone, ok := d.members.setGone(known); ok {
		event.Log(d.config.Logger, event.HostGone, "host", host.Name, "life", known.Incarnation, "version", known.Version)
		d.retake()
		d.tell("", []member.Host{gone})
	}
}

// recordIsGone says whether the store answers that it has no record of the host.
func (d *daemon) recordIsGone(host string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	record, err := d.config.Store.Get(ctx, d.recordsPrefix()+host)
	if err != nil {
		d.platformFailed(err)
		return false
	}
	return record.Data == nil
}
