// Package daemon puts the parts of tideliftd together and runs them.
//
// # Usage
//
//	err := daemon.Run(ctx, daemon.Config{Settings: s, Logger: logger, Force: force})
//
// Run returns after a planned stop: ctx ends, the daemon says that it is not ready and
// serves on for as long as the settings say, then takes no new work, finishes what is in
// flight and closes the listeners. Force, or the settings' stop limit, ends it earlier
// and cuts what is left.
//
// # What it joins
//
// Each part owns its state and is a package of its own; what it is for stands there. The daemon makes the parts,
// passes each the functions of others that it calls, and owns only the settings, the certificates and
// tokens, and whether it is stopping.
//
//	control        calls other daemons, and answers them by the table in calls.go
//	storehealth    whether the platform answers
//	membership     which hosts there are and which backend servers serve there
//	declaration    what is declared, put in force in sidecar, limits and ingress
//	hostlist       the platform's list of draining hosts, where hosts are declared
//	quarantinesync requests that end backend servers
//	retry, lend    the retries of this host, and those of others
//	limits         the customers' limits
//	sidecar        takes hops for the backend servers of this host
//	ingress        takes callers' requests
//	serve          the listeners
//
// # Start
//
// Keys and metrics come first, then the parts in the order of build, then the listeners, and last the
// tasks: the declaration's, the settings file's, the limits', the quarantines' and the
// membership's, which writes this host's record in the store if hosts register themselves. Without a
// declaration the daemon answers callers with the result code not-ready.
//
// # Planned stop
//
// It goes in this order, within the settings' stop limit:
//
//  1. The daemon says that it is not ready, and serves on for as long as the settings say (Unready).
//  2. It tells the other daemons that it stops, refuses work for its backend servers, and takes no new
//     connections.
//  3. For a second, answers ask callers and peers to close their connections (settleFor).
//  4. It closes connections without a request, and ends callers, then peers, then operators, each after what
//     it has begun.
//  5. Shortly before the limit, callers that still wait get a last answer; at the limit the rest is cut.
//  6. The clean-up functions run, the last part first.
package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/declaration"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/hostlist"
	"github.com/tideliftd/tidelift/internal/ingress"
	"github.com/tideliftd/tidelift/internal/keys"
	"github.com/tideliftd/tidelift/internal/lend"
	"github.com/tideliftd/tidelift/internal/limits"
	"github.com/tideliftd/tidelift/internal/membership"
	"github.com/tideliftd/tidelift/internal/metric"
	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/runs"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/sidecar"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/storehealth"
	"github.com/tideliftd/tidelift/internal/version"
)

// Config says which daemon to run.
type Config struct {
	// Settings are the daemon's own, checked.
	Settings settings.Settings
	// Logger receives numbered events.
	Logger *slog.Logger
	// Force ends a planned stop at once when it is closed; nil never does.
	Force <-chan struct{}
	// Level sets the least level that is logged; nil if it is fixed.
	Level *slog.LevelVar
	// Reloads brings the settings each time their file has changed; nil if they
	// never do.
	Reloads <-chan settings.Settings
	// Store is the platform's key-value store.
	Store store.Store
	// StoredDeclaration reads what the platform's operator writes; it is used if the
	// settings say that the platform declares.
	StoredDeclaration declaration.Stored
	// Registrations makes the handler for registrations of this host's backend servers.
	Registrations func(membership.Registrations) http.Handler
	// ReadyPattern is the pattern under which readiness is asked.
	ReadyPattern string
}

// daemon holds the parts while they run.
type daemon struct {
	config   Config
	started  time.Time
	stopping atomic.Bool
	live     atomic.Pointer[settings.Settings] // as the file says now
	cleanUps []func()

	certificates *keys.Certificates // nil without mutual TLS
	tokens       *keys.Tokens       // nil without tokens

	metrics      metric.Metrics
	health       *storehealth.Health
	peers        *control.Client
	budgets      *retry.Budgets
	members      *membership.Membership
	quarantines  *quarantinesync.Syncer
	ledger       *revision.Ledger
	hostList     *hostlist.Follower
	declarations *declaration.Follower
	lender       *lend.Lender
	limits       *limits.Limits
	runs         *runs.Table
	sidecar      *sidecar.Sidecar
	ingress      *ingress.Ingress
}

// Run runs a daemon until ctx ends and its planned stop is done.
func Run(ctx context.Context, config Config) error {
	d := &daemon{config: config, started: time.Now()}
	d.live.Store(&config.Settings)
	defer d.cleanUp()
	if err := d.build(); err != nil {
		return err
	}
	servers, err := d.listen()
	if err != nil {
		return err
	}
	followCtx, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	go d.declarations.Run(followCtx)
	go d.followSettings(followCtx)
	go d.limits.Run(followCtx)
	go d.quarantines.Run(followCtx)
	go d.members.Run(followCtx)
	event.Log(config.Logger, event.DaemonStarted,
		"data_centre", config.Settings.DataCentre, "callers", config.Settings.Listen.Callers, "version", version.Version)
	select {
	case <-ctx.Done():
		return d.stop(servers)
	case err := <-servers.Failed():
		event.Log(config.Logger, event.ServeFailed, "error", err)
		return errors.Join(err, d.stop(servers))
	}
}

// atEnd keeps a function for cleanUp, which calls the last one first.
func (d *daemon) atEnd(cleanUp func()) { d.cleanUps = append(d.cleanUps, cleanUp) }

func (d *daemon) cleanUp() {
	for i := len(d.cleanUps) - 1; i >= 0; i-- {
		d.cleanUps[i]()
	}
}

// status is the state of this daemon for operators.
func (d *daemon) status() operatorapi.Status {
	status := operatorapi.Status{
		Daemon:     d.config.Settings.Name,
		DataCentre: d.config.Settings.DataCentre,
		Version:    version.Version,
		Stopping:   d.stopping.Load(),
		Platform:   string(d.health.State()),
		InFlight:   d.ingress.InFlight(),
		UptimeMs:   time.Since(d.started).Milliseconds(),
	}
	if current, ok := d.declarations.Current(); ok {
		status.Revision = current.Revision.Number
		status.Ready = !status.Stopping
	}
	return status
}
