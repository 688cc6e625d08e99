// Package declaration obtains the declaration, puts it in force in every part of this daemon, and
// notifies other daemons of new revisions.
//
// A revision reaches a daemon in one of four ways: the daemon watches the platform, which a few
// daemons of each data centre do; another daemon notifies it of the revision, which it then fetches;
// it polls another daemon periodically, in case a notification was lost; or an operator publishes the
// revision through it. Revision numbers only increase. A daemon that cannot parse a revision keeps the
// previous one. A daemon without a declaration polls its seeds, so that it can serve while the
// platform is unreachable.
//
// The declaration in force is the declared one completed with the hosts and backend servers that
// registered themselves. It is put in force again whenever those change (Reapply).
//
// A poll also exchanges host records, quarantined requests and evacuations, so that it makes up for
// updates that were lost.
//
// The package owns the declaration in force and the plan of which hosts to notify. It relies on its
// Source for revisions, on internal/gossip for which daemons watch and which hosts to notify, on
// internal/storehealth for whether the platform answers, on internal/membership for the hosts, and on
// Config.Apply to distribute the index.
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

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/evacuationsync"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/membership"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/storehealth"
)

// Config configures a Follower.
type Config struct {
	// Host and DataCentre name this daemon.
	Host, DataCentre string
	// Seeds are control addresses of the daemons that are polled until there is a declaration.
	Seeds []string
	// Registers reports whether hosts register themselves and therefore have to join the others first.
	Registers bool
	// Logger receives the declaration events.
	Logger *slog.Logger
	// Scope receives the metrics.
	Scope tally.Scope
	// Health tracks whether the platform answers.
	Health *storehealth.Health
	// Peers is the client for control calls to other daemons.
	Peers *control.Client
	// Unreachable reports whether the named host does not answer.
	Unreachable func(host string) bool
	// Members holds the known hosts, Quarantines the suspected and quarantined requests.
	Members     *membership.Membership
	Quarantines *quarantinesync.Syncer
	// Evacuations holds the evacuated data centres.
	Evacuations *evacuationsync.Syncer
	// Source provides the declarations.
	Source Source
	// Publish writes a change to the platform's store as the next revision.
	Publish func(context.Context, revision.Change) (revision.Accepted, error)
	// Apply distributes the index in force to every part of the daemon. Calls never overlap.
	Apply func(*fleet.Index)
	// WhileWatching, if not nil, runs while this daemon watches the platform, until ctx is done.
	WhileWatching func(ctx context.Context)
}

// InForce is the declaration in force at this daemon.
type InForce struct {
	Revision revision.Revision
	Index    *fleet.Index
}

// Follower follows the declaration and puts it in force.
type Follower struct {
	config       Config
	mu           sync.Mutex // serialises changes of what is in force; guards declared
	declared     fleet.Declaration
	inForce      atomic.Pointer[InForce]
	plan         atomic.Pointer[gossip.Plan]
	peerAnswered atomic.Bool
	// answerAgeGauge shows the age of the last known answer of the platform, in seconds.
	answerAgeGauge tally.Gauge
	fetching       sync.Mutex // held while an announced revision is fetched
	// announcedFetches counts the fetches of announced revisions that run or wait.
	announcedFetches atomic.Int64
}

// New returns a follower with no declaration in force.
func New(config Config) *Follower {
	return &Follower{config: config, answerAgeGauge: config.Scope.Gauge("store_answer_age_seconds")}
}
