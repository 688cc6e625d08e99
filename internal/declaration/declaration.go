// Package declaration brings the declaration to this daemon, puts it in force in every part, and tells other
// daemons.
//
// A revision reaches a daemon in one of four ways: it watches the platform, which a few daemons of each
// data centre do; another daemon tells that there is one, and is asked for it; it asks another one now and
// then, in case nobody told it; or an operator publishes it here. Revisions only go up. A daemon that
// cannot read one keeps the one before. A daemon that has none asks its seeds, and serves without
// the platform.
//
// What is in force is the declaration completed with the hosts and backend servers that registered
// themselves; it is put in force again whenever those change (Reapply).
//
// The same question to another daemon also exchanges what is known of hosts and of quarantined
// requests, so that whatever was not told arrives then.
//
// The package owns the declaration in force and the plan of which hosts to tell. It relies on its Source for
// revisions, on internal/gossip for who watches and which hosts to tell, on internal/storehealth for whether the
// platform answers, on internal/membership for the hosts, and on whoever gives the index to
// the parts (Apply).
//
// # Usage
//
//	f := declaration.New(declaration.Config{Host: name, Source: source, Members: members, Apply: apply, ...})
//	go f.Run(ctx)
//	if index, ok := f.Index(); ok { ... }
//	handlers[control.MethodNotice] = f.HandleNotice
//	handlers[control.MethodRevision] = f.HandleRevision
package declaration

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/membership"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/storehealth"
)

// Config holds where declarations come from and who acts on them.
type Config struct {
	// Host and DataCentre name this daemon.
	Host, DataCentre string
	// Seeds are control addresses of daemons that are asked until there is a declaration.
	Seeds []string
	// Registers is true if hosts register themselves, and so have to join others first.
	Registers bool
	// Logger receives events of declarations.
	Logger *slog.Logger
	// Health keeps whether the platform answers.
	Health *storehealth.Health
	// Peers calls other daemons.
	Peers *control.Client
	// Unreachable reports whether the host of that name does not answer.
	Unreachable func(host string) bool
	// Members keeps what is known of hosts, Quarantines the suspected and quarantined requests.
	Members     *membership.Membership
	Quarantines *quarantinesync.Syncer
	// Source is where declarations come from.
	Source Source
	// Publish makes a change the next revision in the platform's store.
	Publish func(context.Context, revision.Change) (revision.Accepted, error)
	// Apply gives what is in force to every part; it is called once at a time.
	Apply func(*fleet.Index)
	// WhileWatching runs while this daemon watches the platform, until ctx ends; nil for nothing.
	WhileWatching func(ctx context.Context)
}

// InForce is the declaration in force at the daemon.
type InForce struct {
	Revision revision.Revision
	Index    *fleet.Index
}

// Follower follows the declaration and puts it in force.
type Follower struct {
	config       Config
	mu           sync.Mutex // serialises what puts something in force; guards declared
	declared     fleet.Declaration
	inForce      atomic.Pointer[InForce]
	plan         atomic.Pointer[gossip.Plan]
	peerAnswered atomic.Bool
}

// New returns a follower with no declaration in force.
func New(config Config) *Follower { return &Follower{config: config} }
