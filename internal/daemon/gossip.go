package daemon

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/revision"
)

// held answers a daemon that asks which revision this one has.
func (d *daemon) held(asked control.Above) control.Held {
	above := asked.Revision
	held := control.Held{SilentMs: time.Since(d.health.LastSeen()).Milliseconds()}
	d.members.AddDigest(asked, &held)
	if asked.Quarantines != d.quarantines.Sum() {
		held.Quarantines = d.quarantines.Quarantines()
	}
	current := d.inForce.Load()
	if current == nil {
		return held
	}
	held.Revision.Number = current.Revision.Number
	if current.Revision.Number > above {
		held.Revision = control.Revision(current.Revision)
	}
	return held
}

// receiveNotice fetches a revision that another daemon says it has. A daemon without a
// declaration knows the hosts that registered themselves.
func (d *daemon) receiveNotice(notice control.Notice) {
	if notice.Revision <= d.revision() {
		return
	}
	if current := d.inForce.Load(); current != nil {
		if host, ok := current.Index.Host(notice.Host); ok {
			go d.fetch(context.Background(), d.peers.Address(host))
		}
		return
	}
	if host, ok := d.members.Host(notice.Host); ok {
		go d.fetch(context.Background(), host.Control)
	}
}

// notifyPeers tells a few other daemons of the revision that was just put in force.
func (d *daemon) notifyPeers(r revision.Revision, plan *gossip.Plan) {
	notice := control.Notice{Host: d.config.Settings.Name, Revision: r.Number}
	d.peers.Tell(plan.Notify(), control.MethodNotice, notice)
}
