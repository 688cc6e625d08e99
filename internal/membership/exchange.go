package membership

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
)

// Sum returns a hash of what is known of hosts; 0 if they are declared.
func (m *Membership) Sum() uint64 {
	if !m.config.Registers {
		return 0
	}
	return m.known.sum()
}

// AddDigest adds the digest of what is known here if the asking daemon does not
// know the same.
func (m *Membership) AddDigest(asked control.RevisionQuery, held *control.RevisionResponse) {
	if asked.Hosts == 0 || !m.config.Registers || asked.Hosts == m.Sum() {
		return
	}
	held.Digest = m.known.digest()
}

// Exchange tells the peer what it does not know of hosts, and records what
// it answers.
func (m *Membership) Exchange(ctx context.Context, address string, held control.RevisionResponse) {
	if held.Digest == nil || !m.known.beginExchange(time.Now()) {
		return
	}
	told := control.HostUpdates{Host: m.config.Self.Name}
	told.Hosts, told.Digest = m.known.compare(held.Digest)
	var rest control.HostUpdatesResponse
	if err := m.config.Peers.CallLogged(ctx, address, control.MethodHostUpdates, told, &rest); err != nil {
		return
	}
	m.Learn(address, rest.Hosts)
}
