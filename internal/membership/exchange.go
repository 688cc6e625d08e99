package membership

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
)

// Sum returns a hash over all known hosts, or 0 if hosts are declared.
func (m *Membership) Sum() uint64 {
	if !m.config.Registers {
		return 0
	}
	return m.known.sum()
}

// AddDigest adds the local digest to the answer if the requesting daemon's state
// differs.
func (m *Membership) AddDigest(query control.RevisionQuery, response *control.RevisionResponse) {
	if query.Hosts == 0 || !m.config.Registers || query.Hosts == m.Sum() {
		return
	}
	response.Digest = m.known.digest()
}

// Exchange sends the peer the hosts by which the peer's digest differs, and
// merges the records that it returns.
func (m *Membership) Exchange(ctx context.Context, address string, response control.RevisionResponse) {
	if response.Digest == nil || !m.known.beginExchange(time.Now()) {
		return
	}
	updates := control.HostUpdates{Host: m.config.Self.Name}
	updates.Hosts, updates.Digest = m.known.diffAndDigest(response.Digest)
	var rest control.HostUpdatesResponse
	if err := m.config.Peers.CallLogged(ctx, address, control.MethodHostUpdates, updates, &rest); err != nil {
		return
	}
	m.Learn(address, rest.Hosts)
}
