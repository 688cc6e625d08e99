package membership

import (
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/registry"
)

// known guards what the daemon knows of all hosts and of its own backend servers.
type known struct {
	mu        sync.Mutex
	changed   time.Time // when something was last learned
	exchanged time.Time // when this daemon last exchanged what it knows
	table     *member.Table
	registry  *registry.Registry
}

func newKnown(self member.Host) *known {
	return &known{table: member.NewTable(self), registry: registry.New()}
}

// sum returns a hash of what is known of all hosts.
func (k *known) sum() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Sum()
}

// digest returns hashes by which two daemons find where they differ.
func (k *known) digest() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Digest()
}

// missing returns the hosts that a daemon with that digest may not know as they are
// known here.
func (k *known) missing(digest []byte) []member.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Diff(digest)
}

// compare returns the same and the digest of what is known here at that moment.
func (k *known) compare(digest []byte) ([]member.Host, []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Diff(digest), k.table.Digest()
}

// self returns what is told of the own host.
func (k *known) self() member.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Self()
}

// all returns every host that was ever told of.
func (k *known) all() []member.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Hosts()
}

// host returns what is known of a host.
func (k *known) host(name string) (member.Host, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Host(name)
}

const (
	// quietFor is how long nothing was learned before a daemon exchanges what it
	// knows with another. Source: updates are told within some hundred milliseconds, and
	// while it is under way any two daemons differ.
	quietFor = 500 * time.Millisecond
	// exchangeEvery is how long a daemon waits for such a time at most.
	exchangeEvery = 3 * time.Second
)

// beginExchange reports whether it is time to exchange what is known with another
// daemon, and if so records that it is done.
func (k *known) beginExchange(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.changed) < quietFor && now.Sub(k.exchanged) < exchangeEvery {
		return false
	}
	k.exchanged = now
	return true
}

// setStopping records that this daemon stops, and returns what to tell of it.
func (k *known) setStopping() member.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.SetStopping()
	return k.table.Self()
}

// setGone records that a host is gone unless it has told of itself since.
func (k *known) setGone(host member.Host) (member.Host, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.SetGone(host.Name, host.Incarnation, host.Version)
}

// register records what a backend server says of itself, and reports whether that
// changes what others should know.
func (k *known) register(c registry.Registration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Register(c) && k.publish()
}

// serves reports whether the backend server of that name serves on this host.
func (k *known) serves(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Serves(name)
}

// leave records that a backend server ends, and reports whether others should know.
func (k *known) leave(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Leave(name) && k.publish()
}

// publish puts the backend servers that serve into the table.
func (k *known) publish() bool {
	registered := k.registry.Serving()
	serving := make([]member.Server, 0, len(registered))
	for _, c := range registered {
		serving = append(serving, member.Server{Name: c.Name, Service: c.Service, Address: c.Address, Slots: c.Slots})
	}
	k.table.SetServers(serving, k.registry.Left())
	return true
}

// merge records what others told and returns what is new, and which backend servers
// of this host left in an earlier incarnation of the daemon, as the others remember.
func (k *known) merge(told []member.Host) (updates []member.Host, forbidden []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	updates = k.table.Merge(told)
	if len(updates) > 0 {
		k.changed = time.Now()
	}
	for _, h := range told {
		if h.Name == k.table.Self().Name && k.registry.RestoreLeft(h.Left) {
			k.publish()
			updates = append(updates, k.table.Self())
			forbidden = append(forbidden, h.Left...)
		}
	}
	return updates, forbidden
}
