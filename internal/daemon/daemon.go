// Package daemon assembles the parts of tideliftd and runs them.
//
// # Usage
//
//	err := daemon.Run(ctx, daemon.Config{Settings: s, Logger: logger, Force: force})
//
// Run returns after a planned stop: when ctx ends, the daemon reports that it is not
// ready and continues to serve for the configured time, then accepts no new work,
// finishes what is in flight and closes the listeners. Force, or the configured stop
// limit, ends the stop early and aborts the remaining requests.
//
// # Parts
//
// Each part is a package of its own that owns its state and documents its purpose.
// The daemon creates the parts, passes each the functions of others that it calls,
// and owns only the settings, the certificates and tokens, and whether it is
// stopping.
//
//	control        calls other daemons, and dispatches their calls by the table in calls.go
//	storehealth    whether the platform answers
//	membership     the hosts and the backend servers in service there
//	declaration    the declaration, applied to sidecar, limits and ingress
//	hostlist       the platform's list of draining hosts, where hosts are declared
//	quarantinesync requests that make backend servers end
//	evacuationsync the evacuated data centres
//	retry, lend    the retry budgets of this host, and loans from other hosts
//	limits         the customers' limits
//	sidecar        accepts hops for the backend servers of this host
//	ingress        accepts callers' requests
//	serve          the listeners
//
// # Start
//
// Keys and metrics come first, then the parts in the order of build, then the
// listeners, and last the background tasks: those of the declaration, the settings
// file, the limits, the quarantines and the membership, which writes this host's
// record to the store if hosts register themselves. Without a declaration, the
// daemon answers callers with the result code not-ready.
//
// # Planned stop
//
// A planned stop takes these steps, within the configured stop limit:
//
//  1. The daemon reports that it is not ready, and continues to serve for the
//     configured time (Unready). From now on it refuses callers' and peers' requests
//     whose deadline is after the final answers of step 5.
//  2. It notifies the other daemons that it is stopping, refuses work for its
//     backend servers, and accepts no new connections.
//  3. For a second, answers request callers and peers to close their connections
//     (announcePeriod).
//  4. It closes connections without a request, and ends callers, then peers, then
//     operators, each after finishing what is in flight.
//  5. Shortly before the limit, waiting callers receive a final answer; at the
//     limit, the remaining requests are aborted.
//  6. The clean-up functions run in reverse order of creation.
package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/declaration"
	"github.com/tideliftd/tidelift/internal/evacuationsync"
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

// Config holds the settings and dependencies of a daemon.
type Config struct {
	// Settings are the validated settings of the daemon.
	Settings settings.Settings
	// Logger receives numbered events.
	Logger *slog.Logger
	// Force ends a planned stop immediately when it is closed. It may be nil.
	Force <-chan struct{}
	// Level adjusts the minimum log level; nil if it is fixed.
	Level *slog.LevelVar
	// Reloads delivers the settings each time their file has changed; nil if they
	// are not reloaded.
	Reloads <-chan settings.Settings
	// Store is the platform's key-value store.
	Store store.Store
	// StoredDeclaration reads the declaration that the platform's operator writes. It is
	// used if the settings select the platform as the source.
	StoredDeclaration declaration.Stored
	// Registrations returns the handler for registrations of this host's backend servers.
	Registrations func(membership.Registrations) http.Handler
	// ReadyPattern is the URL pattern of the readiness check.
	ReadyPattern string
}

// daemon holds the running parts.
type daemon struct {
	config   Config
	started  time.Time
	stopping atomic.Bool
	live     atomic.Pointer[settings.Settings] // current settings, including reloaded ones
	cleanUps []func()

	certificates *keys.Certificates // nil without mutual TLS
	tokens       *keys.Tokens       // nil without tokens

	metrics      metric.Metrics
	health       *storehealth.Health
	peers        *control.Client
	budgets      *retry.Budgets
	members      *membership.Membership
	quarantines  *quarantinesync.Syncer
	evacuations  *evacuationsync.Syncer
	ledger       *revision.Ledger
	hostList     *hostlist.Follower
	declarations *declaration.Follower
	lender       *lend.Lender
	limits       *limits.Limits
	runs         *runs.Table
	bodies       *body.Memory // nil without a bound
	sidecar      *sidecar.Sidecar
	ingress      *ingress.Ingress
}

// Run runs a daemon until ctx ends and the planned stop is complete.
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

// addCleanUp registers a function for cleanUp, which calls them in reverse order.
func (d *daemon) addCleanUp(cleanUp func()) { d.cleanUps = append(d.cleanUps, cleanUp) }

func (d *daemon) cleanUp() {
	for i := len(d.cleanUps) - 1; i >= 0; i-- {
		d.cleanUps[i]()
	}
}

// status returns the state of this daemon for operators.
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
