package membership

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/registry"
)

// known guards the table of all hosts and the registry of local backend servers.
type known struct {
	mu        sync.Mutex
	changed   time.Time // last time that merge changed the table
	exchanged time.Time // last exchange with another daemon
	// nextRemote is when this daemon, if it is not a relay, compares hosts with another data centre
	// the next time.
	nextRemote time.Time
	table      *member.Table
	registry   *registry.Registry
}

func newKnown(self member.Host) *known {
	k := &known{table: member.NewTable(self), registry: registry.New()}
	k.postponeRemote(time.Now())
	return k
}

// sum returns a hash over all known hosts.
func (k *known) sum() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Sum()
}

// digest returns the bucket hashes by which two daemons find their differences.
func (k *known) digest() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Digest()
}

// diff returns the hosts that may differ from those of the daemon that sent the digest.
func (k *known) diff(digest []byte) []member.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Diff(digest)
}

// diffAndDigest returns the hosts that differ from the digest, and the local digest of
// the same state.
func (k *known) diffAndDigest(digest []byte) ([]member.Host, []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Diff(digest), k.table.Digest()
}

// self returns the record of the local host.
func (k *known) self() member.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Self()
}

// all returns all known hosts, including those that are gone.
func (k *known) all() []member.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Hosts()
}

// host returns the record of a host.
func (k *known) host(name string) (member.Host, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Host(name)
}

const (
	// quietPeriod is how long the table must be unchanged before the daemon
	// exchanges with another. While updates spread, any two daemons differ.
	quietPeriod = 500 * time.Millisecond
	// maxExchangeDelay bounds how long an exchange is postponed by changes.
	maxExchangeDelay = 3 * time.Second
	// remoteExchangeInterval is the mean interval at which a daemon that is not a relay compares hosts
	// with another data centre, in case none of the relays can.
	remoteExchangeInterval = 60 * time.Second
)

// sumIfDue returns a hash over all known hosts if an exchange with another daemon is due, and zero
// otherwise.
func (k *known) sumIfDue(now time.Time) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sumUnlessRecent(now)
}

// sumIfDueRemotely is sumIfDue for an exchange of a daemon that is not a relay with another data
// centre.
func (k *known) sumIfDueRemotely(now time.Time) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.nextRemote) {
		return 0
	}
	sum := k.sumUnlessRecent(now)
	if sum != 0 {
		k.postponeRemote(now)
	}
	return sum
}

// postponeRemote draws the next time of an exchange with another data centre. The caller holds mu.
func (k *known) postponeRemote(now time.Time) {
	k.nextRemote = now.Add(remoteExchangeInterval/2 + rand.N(remoteExchangeInterval))
}

// sumUnlessRecent implements sumIfDue. The caller holds mu.
func (k *known) sumUnlessRecent(now time.Time) uint64 {
	if now.Sub(k.changed) < quietPeriod && now.Sub(k.exchanged) < maxExchangeDelay {
		return 0
	}
	return k.table.Sum()
}

// beginExchange records the time of an exchange with another daemon.
func (k *known) beginExchange(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.exchanged = now
}

// setStopping records that this daemon is stopping and returns its new record.
func (k *known) setStopping() member.Host {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.SetStopping()
	return k.table.Self()
}

// setGone records that a host is gone, unless a newer record of it has arrived.
func (k *known) setGone(host member.Host) (member.Host, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.SetGone(host.Name, host.Incarnation, host.Version)
}

// register records a registration and reports whether other daemons must be notified. It returns an error for one of another writer.
func (k *known) register(c registry.Registration) (notify bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.registry.Check(c); err != nil {
		return false, err
	}
	return k.registry.Register(c) && k.publish(), nil
}

// isLatest reports whether the registration is the last one of a backend server in service.
func (k *known) isLatest(c registry.Registration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.IsLatest(c)
}

// serves reports whether the named backend server is in service on this host.
func (k *known) serves(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Serves(name)
}

// leave records that a backend server ends, and reports whether other daemons must
// be notified.
func (k *known) leave(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Leave(name) && k.publish()
}

// publish copies the backend servers in service from the registry to the table. It
// always returns true.
func (k *known) publish() bool {
	registered := k.registry.Serving()
	serving := make([]member.Server, 0, len(registered))
	for _, c := range registered {
		serving = append(serving, serverOf(c))
	}
	k.table.SetServers(serving, k.registry.Left())
	return true
}

// serverOf returns what other daemons learn of a registration.
func serverOf(c registry.Registration) member.Server {
	return member.Server{Name: c.Name, Service: c.Service, Address: c.Address, Slots: c.Slots}
}

// merge merges the received records, which have been checked. It returns those that
// changed the table, and the local backend servers that left in an earlier incarnation
// of this daemon, as recorded by other daemons.
func (k *known) merge(received []member.Host) (updates []member.Host, restored []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	updates = k.table.Merge(received)
	if len(updates) > 0 {
		k.changed = time.Now()
	}
	for _, h := range received {
		if h.Name == k.table.Self().Name && k.registry.RestoreLeft(h.Left) {
			k.publish()
			updates = append(updates, k.table.Self())
			restored = append(restored, h.Left...)
		}
	}
	return updates, restored
}
