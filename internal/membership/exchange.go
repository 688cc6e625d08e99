package membership

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
)

// SumIfDue returns a hash over all known hosts, by which a daemon in that data centre finds out whether
// its own differ. It returns 0, which requests no comparison, if hosts are declared or if no exchange
// is due. An empty name means any data centre.
func (m *Membership) SumIfDue(dataCentre string) uint64 {
	if !m.config.Registers {
		return 0
	}
	now := time.Now()
	if dataCentre == "" || dataCentre == m.config.Self.DataCentre || m.isRelay() {
		return m.known.sumIfDue(now)
	}
	return m.known.sumIfDueRemotely(now)
}

// isRelay reports whether this daemon regularly compares hosts with other data centres.
func (m *Membership) isRelay() bool {
	plan := m.config.Plan()
	return plan == nil || plan.IsRelay()
}

// AddDigest adds the local digest to the answer if the requesting daemon's state
// differs.
func (m *Membership) AddDigest(query control.RevisionQuery, response *control.RevisionResponse) {
	if query.Hosts == 0 || !m.config.Registers || query.Hosts == m.known.sum() {
		return
	}
	response.Digest = m.known.digest()
}

// Exchange sends the peer the hosts by which the peer's digest differs, and
// merges the records that it returns.
func (m *Membership) Exchange(ctx context.Context, address string, response control.RevisionResponse) {
	if response.Digest == nil {
		return
	}
	m.known.beginExchange(time.Now())
	updates := control.HostUpdates{Host: m.config.Self.Name}
	updates.Hosts, updates.Digest = m.known.diffAndDigest(response.Digest)
	var rest control.HostUpdatesResponse
	if err := m.config.Peers.CallLogged(ctx, address, control.MethodHostUpdates, updates, &rest); err != nil {
		return
	}
	m.Learn(address, rest.Hosts)
}
