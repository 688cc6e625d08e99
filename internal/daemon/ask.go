package daemon

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/revision"
)

// askTimeout bounds the question to another daemon which revision it has and what it
// knows of hosts. Source: a hundred round trips between data centres; a daemon that has
// missed a change has to have asked several others within two seconds.
const askTimeout = 400 * time.Millisecond

// fetch asks the daemon at the address, and says whether it had a higher revision than
// the one here.
func (d *daemon) fetch(ctx context.Context, address string) bool {
	before := d.revision()
	return d.ask(ctx, address) && d.revision() > before
}

// ask asks the daemon at the address for its revision and for what it knows of hosts,
// takes what is new here, and says whether it answered.
func (d *daemon) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	above := control.Above{Revision: d.revision(), Hosts: d.members.Sum(), Quarantines: d.quarantines.Sum()}
	var held control.Held
	if err := d.peers.Call(ctx, address, control.MethodRevision, above, &held); err != nil {
		return false
	}
	d.members.Exchange(ctx, address, held)
	d.hearQuarantines(held)
	d.health.Seen(time.Now().Add(-time.Duration(held.SilentMs) * time.Millisecond))
	if held.Revision.Number > above.Revision {
		d.take(revision.Revision(held.Revision))
	}
	return true
}
