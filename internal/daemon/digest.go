package daemon

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
)

// hostsSum returns the hash of the known hosts, if hosts register themselves.
func (d *daemon) hostsSum() uint64 {
	if !d.registers() {
		return 0
	}
	return d.members.sum()
}

// answerHosts adds the digest of what is known here if the asking daemon does not
// know the same.
func (d *daemon) answerHosts(asked control.Above, held *control.Held) {
	if asked.Hosts == 0 || !d.registers() || asked.Hosts == d.hostsSum() {
		return
	}
	held.Digest = d.members.digest()
}

// exchangeHosts tells the peer what it does not know of hosts, and takes what it
// answers with.
func (d *daemon) exchangeHosts(ctx context.Context, address string, held control.Held) {
	if held.Digest == nil || !d.members.mayExchange(time.Now()) {
		return
	}
	told := control.Told{Host: d.config.Settings.Name}
	told.Hosts, told.Digest = d.members.compare(held.Digest)
	var rest control.Rest
	if err := d.peers.CallLogged(ctx, address, control.MethodTold, told, &rest); err != nil {
		return
	}
	d.learn(address, rest.Hosts)
}
