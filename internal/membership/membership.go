// Package membership tracks all hosts and the backend servers that register with
// the local daemon.
//
// A backend server registers with the daemon of its host. The daemon applies the
// registration and notifies a few other daemons, in its own data centre and in
// others, which pass it on. Daemons that communicate for other reasons also
// compare hashes of their tables and exchange the differences, so that lost
// updates arrive later. A host that does not answer is considered gone once its
// record in the store is gone, too.
//
// That a backend server has left is final. It is confirmed to the backend server once the store
// and other daemons have it as well, or shortly after if they do not answer, since this daemon
// may be killed at any moment.
//
// The hosts learned from others are applied together, at most a few times per second; changes of the
// local host's own backend servers are applied immediately.
//
// If hosts are declared, none of this is active: only the local host is known, and a
// declaration is complete.
//
// The package owns the table of hosts, the registry of local backend servers, the
// queue of updates to send, and the host's record. It relies on internal/member
// and internal/registry to decide what is new, on internal/record for the store,
// on internal/gossip to select the hosts to notify, and on Config.Reapply to apply
// declarations.
//
// # Usage
//
//	m := membership.New(membership.Config{Self: self, Registers: true, Peers: client, Record: recordConfig, ...})
//	go m.Run(ctx)
//	declaration := m.Complete(declared)
//	handlers[control.MethodHostUpdates] = m.HandleUpdates
//	m.Stop() // notifies others that this daemon stops
package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/record"
)

const (
	// maxJoinAttempts bounds how many other daemons a joining daemon contacts. Some of
	// the hosts in the store may be gone; the first that answers knows all others.
	maxJoinAttempts = 4
	// maxQueuedUpdates bounds the updates that wait to be batched. Further updates are
	// dropped; other daemons obtain them by exchange.
	maxQueuedUpdates = 256
	// fromStore is the sender of records that were read from the store. They are not sent to other data
	// centres, since each reads its own.
	fromStore = "store"
)

// Config identifies the local host and holds the dependencies of a Membership.
type Config struct {
	// Self is the local host, in a new incarnation.
	Self member.Host
	// Registers reports whether hosts and backend servers register themselves;
	// otherwise they are declared.
	Registers bool
	// Logger receives events of hosts and registrations.
	Logger *slog.Logger
	// Peers calls other daemons.
	Peers *control.Client
	// Record configures the host's record; New sets its Self and OnHosts.
	Record record.Config
	// Plan selects the hosts to notify; it returns nil while no other host is known.
	Plan func() *gossip.Plan
	// Services returns the declared services, or false while no declaration is in force.
	Services func() ([]fleet.Service, bool)
	// SetCold sets how much longer a backend server of this host is slow after its start.
	SetCold func(name string, remaining time.Duration)
	// Reapply applies the declaration again with the current hosts and backend servers.
	Reapply func()
	// Sync fetches the state of the daemon at the address and reports whether it answered.
	Sync func(ctx context.Context, address string) bool
}

// Membership tracks the known hosts and notifies others of changes.
type Membership struct {
	config   Config
	known    *known
	learnLog *learnLog
	record   *record.Record
	updates  chan update
	joined   chan struct{}
	// applyWanted holds a value while an application of the known hosts is scheduled.
	applyWanted chan struct{}
}

// New returns a membership in which only the local host is known.
func New(config Config) *Membership {
	m := &Membership{
		config:      config,
		known:       newKnown(config.Self),
		learnLog:    &learnLog{logger: config.Logger},
		updates:     make(chan update, maxQueuedUpdates),
		joined:      make(chan struct{}),
		applyWanted: make(chan struct{}, 1),
	}
	config.Record.Self = m.known.self
	config.Record.OnHosts = func(hosts []member.Host) { m.Learn(fromStore, hosts) }
	m.record = record.New(config.Record)
	return m
}

// Run joins the other hosts and takes part in membership until ctx ends. On a
// declared host, it only determines whether this is the fleet's first start.
func (m *Membership) Run(ctx context.Context) {
	if m.config.Registers {
		m.join(ctx)
		return
	}
	m.record.ClaimFirstStart(ctx)
}

// join maintains this daemon's record in the store until ctx ends, and discovers
// the other daemons there. It writes its own record before it reads the others',
// so that of two daemons that start simultaneously at least one finds the other.
// The store serves only for discovery; updates travel from daemon to daemon.
func (m *Membership) join(ctx context.Context) {
	go m.sendUpdates(ctx)
	go m.applyScheduled(ctx)
	lease := m.record.Write(ctx)
	complete := m.record.Discover(ctx)
	if !m.syncWithAny(ctx) && !complete {
		m.record.ReadAll(ctx) // the whole data centre may have lost power
		m.syncWithAny(ctx)
	}
	m.config.Reapply() // with all that was learned, before callers are told that the daemon is ready
	close(m.joined)
	m.enqueue("", []member.Host{m.known.self()})
	go m.record.CountHosts(ctx, m.config.Reapply)
	m.record.KeepAlive(ctx, lease)
}

// syncWithAny fetches the state of the daemons listed in the store, in random
// order, until one answers, so that a restarted daemon knows the backend servers
// before requests arrive. It reports whether one did. Those of its data centre come first, since the state of a
// large fleet is expensive to send between data centres.
func (m *Membership) syncWithAny(ctx context.Context) bool {
	others := slices.DeleteFunc(m.known.all(), func(h member.Host) bool {
		return h.Gone || h.Name == m.config.Self.Name
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b member.Host) int { return m.distance(a) - m.distance(b) })
	for _, h := range others[:min(maxJoinAttempts, len(others))] {
		if m.config.Sync(ctx, h.Control) {
			return true
		}
	}
	return false
}

// distance returns 0 for hosts of the data centre and 1 for others.
func (m *Membership) distance(h member.Host) int {
	if h.DataCentre == m.config.Self.DataCentre {
		return 0
	}
	return 1
}

// Joined returns a channel that is closed once a self-registering host has joined
// the others.
func (m *Membership) Joined() <-chan struct{} { return m.joined }

// Stop records that this daemon is stopping and notifies others.
func (m *Membership) Stop() {
	if m.config.Registers {
		m.enqueue("", []member.Host{m.known.setStopping()})
	}
}

// ShareUsable reports whether this daemon may use its share of what is divided among
// the hosts. It always may if hosts are declared, since their number is known.
func (m *Membership) ShareUsable() bool { return !m.config.Registers || m.record.ShareUsable() }

// Hosts returns all known hosts, including the local one and those that are gone.
func (m *Membership) Hosts() []member.Host { return m.known.all() }

// Host returns the record of a host, or false if the host is unknown.
func (m *Membership) Host(name string) (member.Host, bool) { return m.known.host(name) }

// Complete returns the declaration with the hosts that are not gone and the
// backend servers in service there, of which those in evacuated data centres do not count towards
// floors. It returns a declaration that declares hosts unchanged.
func (m *Membership) Complete(declared fleet.Declaration, evacuated []string) fleet.Declaration {
	if len(declared.Hosts) > 0 {
		return declared
	}
	known := m.known.all()
	hosts := make([]fleet.Host, 0, len(known))
	servers := make([]fleet.Registered, 0, len(known))
	for _, h := range known {
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
	return declared.WithRegistered(hosts, servers, evacuated)
}
