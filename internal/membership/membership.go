// Package membership keeps what a daemon knows of all hosts, and of the backend servers that register
// themselves at its own.
//
// A backend server registers itself at the daemon of its host. The daemon puts that in force, and tells a few
// others, near and far, which tell it on. Two daemons that talk anyway compare hashes of what they know
// and exchange what differs, so that whatever was not told arrives a little later. A host that
// does not answer is taken as gone once its record in the store is gone, too.
//
// Where hosts are declared, all of that rests: only this host is known, and a declaration is complete.
//
// The package owns the table of hosts, the registry of the own backend servers, the updates that wait
// to be told, and the host's record. It relies on internal/member and internal/registry, which
// decide what is new, on internal/record for the store, on internal/gossip for which hosts to tell, and on
// whoever puts declarations in force (Reapply).
//
// # Usage
//
//	m := membership.New(membership.Config{Self: self, Registers: true, Peers: client, Record: recordConfig, ...})
//	go m.Run(ctx)
//	declaration := m.Complete(declared)
//	handlers[control.MethodHostUpdates] = m.HandleTold
//	m.Stop() // tells others that this daemon stops
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
	// maxAskedToJoin is how many other daemons a daemon that joins asks at the most. Source: of
	// those that the store names some may be gone, and the first that answers knows all.
	maxAskedToJoin = 4
	// maxWaiting is how many updates may wait to be gathered. Not measured: one is gathered at once, and
	// others ask for what was dropped.
	maxWaiting = 256
)

// Config holds who this host is and what its membership acts on.
type Config struct {
	// Self is this host, in a new incarnation.
	Self member.Host
	// Registers is true if hosts and backend servers register themselves; else they are declared.
	Registers bool
	// Logger receives events of hosts and registrations.
	Logger *slog.Logger
	// Peers calls other daemons.
	Peers *control.Client
	// Record is the host's record; New sets its Self and Learn.
	Record record.Config
	// Plan returns which hosts to tell; nil while no other host is known.
	Plan func() *gossip.Plan
	// Services returns the declared services; false while no declaration is in force.
	Services func() ([]fleet.Service, bool)
	// Reapply puts the declaration in force again with the hosts and backend servers known now.
	Reapply func()
	// Sync asks the daemon at the address for what it knows, and reports whether it answered.
	Sync func(ctx context.Context, address string) bool
}

// Membership keeps what is known of hosts and tells others.
type Membership struct {
	config  Config
	known   *known
	record  *record.Record
	updates chan update
	joined  chan struct{}
}

// New returns a membership in which only this host is known.
func New(config Config) *Membership {
	m := &Membership{
		config:  config,
		known:   newKnown(config.Self),
		updates: make(chan update, maxWaiting),
		joined:  make(chan struct{}),
	}
	config.Record.Self = m.known.self
	config.Record.OnHosts = func(hosts []member.Host) { m.Learn("", hosts) }
	m.record = record.New(config.Record)
	return m
}

// Run joins the other hosts and takes part until ctx ends. A declared host only finds out whether this
// is its first start.
func (m *Membership) Run(ctx context.Context) {
	if m.config.Registers {
		m.join(ctx)
		return
	}
	m.record.ClaimFirstStart(ctx)
}

// join keeps this daemon's record in the store until ctx ends, and finds the
// other daemons there. Of two that start at once the one that writes its record
// later finds the other's, since each reads after it has written. What a record
// says is told from daemon to daemon; in the store it only lets a daemon that
// knows nobody find some.
func (m *Membership) join(ctx context.Context) {
	go m.tellUpdates(ctx)
	lease := m.record.Write(ctx)
	m.record.ReadAll(ctx)
	m.config.Record.Health.RecordSeen(time.Now())
	m.askSomeone(ctx)
	close(m.joined)
	m.tell("", []member.Host{m.known.self()})
	go m.record.CountHosts(ctx, m.config.Reapply)
	m.record.KeepAlive(ctx, lease)
}

// askSomeone asks the daemons that the store names, in no order, for what they know until
// one answers, so that a daemon that is back knows the backend servers before requests
// come.
func (m *Membership) askSomeone(ctx context.Context) {
	others := slices.DeleteFunc(m.known.all(), func(h member.Host) bool {
		return h.Gone || h.Name == m.config.Self.Name
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, h := range others[:min(maxAskedToJoin, len(others))] {
		if m.config.Sync(ctx, h.Control) {
			return
		}
	}
}

// Joined is closed once a host that registers itself has joined the others.
func (m *Membership) Joined() <-chan struct{} { return m.joined }

// Stop records that this daemon stops, and has others told of it.
func (m *Membership) Stop() {
	if m.config.Registers {
		m.tell("", []member.Host{m.known.setStopping()})
	}
}

// ShareUsable reports whether this daemon may use its part of what the hosts share. Declared hosts
// are known by their number.
func (m *Membership) ShareUsable() bool { return !m.config.Registers || m.record.ShareUsable() }

// Hosts returns every host that was ever told of, this one among them.
func (m *Membership) Hosts() []member.Host { return m.known.all() }

// Host returns what is known of a host; false if it was never told of.
func (m *Membership) Host(name string) (member.Host, bool) { return m.known.host(name) }

// Complete returns what is declared with the hosts that are not gone and the
// backend servers that serve there, unless it declares hosts.
func (m *Membership) Complete(declared fleet.Declaration) fleet.Declaration {
	if len(declared.Hosts) > 0 {
		return declared
	}
	var hosts []fleet.Host
	var servers []fleet.Registered
	for _, h := range m.known.all() {
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
	return declared.WithRegistered(hosts, servers)
}
