package daemon

import (
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/registry"
)

// members guards what the daemon knows of all hosts and of its own backend
// servers.
type members struct {
	mu        sync.Mutex
	changed   time.Time // when something was last learned
	exchanged time.Time // when this daemon last exchanged what it knows
	table     *member.Table
	registry  *registry.Registry
}

func newMembers(self member.Host) *members {
	return &members{table: member.NewTable(self), registry: registry.New()}
}

// sum returns a hash of what is known of all hosts.
func (m *members) sum() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Sum()
}

// digest returns hashes by which two daemons find where they differ.
func (m *members) digest() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Digest()
}

// missing returns the hosts that a daemon with that digest may not know as they are
// known here.
func (m *members) missing(digest []byte) []member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Missing(digest)
}

// compare returns the same and the digest of what is known here at that moment.
func (m *members) compare(digest []byte) ([]member.Host, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Missing(digest), m.table.Digest()
}

// self returns what is told of the own host.
func (m *members) self() member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Self()
}

// all returns every host that was ever told of.
func (m *members) all() []member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Hosts()
}

// host returns what is known of a host.
func (m *members) host(name string) (member.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Host(name)
}

const (
	// quietFor is how long nothing was learned before a daemon exchanges what it
	// knows with another. Source: updates are told within some hundred milliseconds, and
	// while it is under way any two daemons differ.
	quietFor = 500 * time.Millisecond
	// exchangeEvery is how long a daemon waits for such a time at most.
	exchangeEvery = 3 * time.Second
)

// mayExchange says whether it is time to exchange what is known with another
// daemon, and notes that it is done.
func (m *members) mayExchange(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.changed) < quietFor && now.Sub(m.exchanged) < exchangeEvery {
		return false
	}
	m.exchanged = now
	return true
}

// setStopping says that this daemon stops, and returns what to tell of it.
func (m *members) setStopping() member.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetStopping()
	return m.table.Self()
}

// setGone takes it that a host is gone unless it has told of itself since.
func (m *members) setGone(known member.Host) (member.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.SetGone(known.Name, known.Incarnation, known.Version)
}

// register takes what a backend server says of itself, and says whether that
// changes what others should know.
func (m *members) register(c registry.Registration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Register(c) && m.publish()
}

// serves says whether the backend server of that name serves on this host.
func (m *members) serves(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Serves(name)
}

// leave takes it that a backend server ends.
func (m *members) leave(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Leave(name) && m.publish()
}

// publish puts the backend servers that serve into the table.
func (m *members) publish() bool {
	registered := m.registry.Serving()
	serving := make([]member.Server, 0, len(registered))
	for _, c := range registered {
		serving = append(serving, member.Server{Name: c.Name, Service: c.Service, Address: c.Address, Slots: c.Slots})
	}
	m.table.SetServers(serving, m.registry.Left())
	return true
}

// merge takes what others told and returns what is new, and which backend servers
// of this host left in an earlier incarnation of the daemon, as the others remember.
func (m *members) merge(told []member.Host) (updates []member.Host, forbidden []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	updates = m.table.Merge(told)
	if len(updates) > 0 {
		m.changed = time.Now()
	}
	for _, h := range told {
		if h.Name == m.table.Self().Name && m.registry.Forbid(h.Left) {
			m.publish()
			updates = append(updates, m.table.Self())
			forbidden = append(forbidden, h.Left...)
		}
	}
	return updates, forbidden
}

// complete returns the declaration with the hosts that are not gone and the
// backend servers that serve there.
func (m *members) complete(declared fleet.Declaration) fleet.Declaration {
	if len(declared.Hosts) > 0 {
		return declared
	}
	var hosts []fleet.Host
	var servers []fleet.Registered
	for _, h := range m.all() {
		if h.Gone {
			continue
		}
		hosts = append(hosts, fleet.Host{Name: h.Name, DataCentre: h.DataCentre, Peers: h.Peers, Control: h.Control})
		if h.Stopping {
			continue
		}
		for _, s := range h.Servers {
			servers = append(servers, fleet.Registered{
				Service:       s.Service,
				BackendServer: fleet.BackendServer{Name: s.Name, Host: h.Name, Address: s.Address, Slots: s.Slots},
			})
		}
	}
	return declared.With(hosts, servers)
}
