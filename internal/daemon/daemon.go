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
// The steps of a start, in order: keys, metrics, sidecar, ingress, ledger, table of
// hosts, listeners with the operator API, declaration, and last, if hosts register
// themselves, the record in the store. Without a declaration the daemon answers
// callers with the result code not-ready.
//
// One theme is in one file:
//
//	daemon.go   makes the parts and runs them
//	listen.go   the listeners and what they serve
//	unused.go   connections on which no request has come
//	stop.go     the planned stop
//	calls.go    control calls, taken and made
//	keys.go     certificates and tokens
//	reload.go   settings that change in a running daemon
//	source.go   whether operators or the platform declare
//	inforce.go  puts a revision in force in every part
//	watch.go    watches the platform while that is this daemon's part
//	platform.go whether the platform answers, here or elsewhere
//	gossip.go   tells others of a revision
//	poll.go     asks others for theirs now and then
//	ask.go      one such question, which also finds what is known of hosts
//	hosts.go    the list of draining hosts in the store
//	members.go  what is known of hosts and of the own backend servers
//	registrations.go registrations of the own backend servers
//	join.go     the order in which a daemon that registers itself joins
//	record.go   this host's record in the store, and the others' at the start
//	first.go    whether this is the first start of a declared host
//	updates.go tells others of hosts
//	digest.go   finds what two daemons know differently of hosts
//	subrequest.go   tells others which routes backend servers call
//	quarantine.go   tells others what is held against requests
//	limits.go   keeps customers' limits with the other daemons
//	gone.go     takes a silent host for gone
package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/ingress"
	"github.com/tideliftd/tidelift/internal/keys"
	"github.com/tideliftd/tidelift/internal/lend"
	"github.com/tideliftd/tidelift/internal/limits"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/membership"
	"github.com/tideliftd/tidelift/internal/metric"
	"github.com/tideliftd/tidelift/internal/operator"
	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
	"github.com/tideliftd/tidelift/internal/record"
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
	StoredDeclaration StoredDeclaration
	// Registrations makes the handler for registrations of this host's backend servers.
	Registrations func(membership.Registrations) http.Handler
	// ReadyPattern is the pattern under which readiness is asked.
	ReadyPattern string
}

// StoredDeclaration reads a declaration that somebody else keeps in the store.
type StoredDeclaration struct {
	// Key holds it.
	Key string
	// Number reads its revision, Hide takes out what must not be kept, and Parse reads the rest.
	Number func(data []byte) (int64, error)
	Hide   func(data []byte) ([]byte, error)
	Parse  func(data []byte, s settings.Source) (fleet.Declaration, error)
}

// daemon holds the parts while they run.
type daemon struct {
	config           Config
	metrics          metric.Metrics
	sidecar          *sidecar.Sidecar
	ingress          *ingress.Ingress
	ledger           *revision.Ledger
	hosts            hostList
	peers            *control.Client
	started          time.Time
	stopping         atomic.Bool
	taking           sync.Mutex // serialises take and retake; guards declared
	declared         fleet.Declaration
	health           *storehealth.Health
	inForce          atomic.Pointer[operator.InForce]
	live             atomic.Pointer[settings.Settings] // as the file says now
	source           source
	members          *membership.Membership
	limits           *limits.Limits
	retries          *retry.Budgets
	lender           *lend.Lender
	quarantines      *quarantinesync.Syncer
	plan             atomic.Pointer[gossip.Plan]
	heardQuarantines atomic.Bool // another daemon has told which there are
	cleanUps         []func()

	certificates *keys.Certificates // nil without mutual TLS
	tokens       *keys.Tokens       // nil without tokens
}

// Run runs a daemon until ctx ends and its planned stop is done.
func Run(ctx context.Context, config Config) error {
	d := &daemon{config: config, started: time.Now()}
	d.live.Store(&config.Settings)
	defer d.cleanUp()
	d.health = storehealth.New(storehealth.Config{Logger: config.Logger})
	if err := d.build(); err != nil {
		return err
	}
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	followCtx, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	go d.follow(followCtx)
	go d.followSettings(followCtx)
	go d.limits.Run(followCtx)
	go d.quarantines.Run(followCtx)
	go d.members.Run(followCtx)
	event.Log(config.Logger, event.DaemonStarted,
		"data_centre", config.Settings.DataCentre, "callers", config.Settings.Listen.Callers, "version", version.Version)
	select {
	case <-ctx.Done():
		return d.stop(listeners)
	case err := <-listeners.failed:
		event.Log(config.Logger, event.ServeFailed, "error", err)
		return errors.Join(err, d.stop(listeners))
	}
}

// build makes the parts in the order in which they need each other.
func (d *daemon) build() error {
	s := d.config.Settings
	if err := d.readKeys(); err != nil {
		return err
	}
	metrics, cleanUp := metric.New(metric.Config{DataCentre: s.DataCentre})
	d.metrics = metrics
	d.atEnd(cleanUp)
	d.peers, cleanUp = control.NewClient(control.ClientConfig{
		TLS: d.clientTLS(), Far: d.isFar, DataCentre: s.DataCentre, Logger: d.config.Logger,
	})
	d.atEnd(cleanUp)
	known := runs.New()
	d.retries = retry.NewBudgets(retry.Config{Began: d.started, Borrows: true})
	d.lender = lend.New(lend.Config{
		Host: s.Name, DataCentre: s.DataCentre, Budgets: d.retries, Hosts: d.declaredHosts,
		Away: func(host string) bool { return d.ingress.Away(host) }, Call: d.peers.CallHost, Scope: metrics.Scope,
	})
	d.quarantines = d.newQuarantines()
	d.sidecar, cleanUp = sidecar.New(sidecar.Config{
		Host: s.Name, Off: s.Experiments.Off, Logger: d.config.Logger, Scope: metrics.Scope,
		Answered: func(good bool) { d.ingress.ServerAnswered(good) }, Peer: d.sidecarPeer(), Runs: known, Retries: d.retries, BorrowRetry: d.lender.Borrow, Quarantine: d.quarantines,
	})
	d.atEnd(cleanUp)
	d.limits = limits.New(limits.Config{
		Host: s.Name, DataCentre: s.DataCentre, Peers: d.peers,
		Away: func(host string) bool { return d.ingress.Away(host) },
	})
	d.ingress, cleanUp = ingress.New(ingress.Config{
		Host:             s.Name,
		DataCentre:       s.DataCentre,
		Service:          s.Service,
		Off:              s.Experiments.Off,
		TLS:              d.clientTLS(),
		HeaderBytes:      s.Limits.HeaderBytes,
		Logger:           d.config.Logger,
		Scope:            metrics.Scope,
		Runs:             known,
		Retries:          d.retries,
		BorrowRetry:      d.lender.Borrow,
		HostsCounted:     func() bool { return d.members.HostsCounted() },
		Local:            d.sidecar.Do,
		LocalReservation: d.sidecar.Reserve,
		Far:              d.isFar,
		Ping:             d.ping,
		Silent:           func(host fleet.Host) { d.members.CheckGone(host) },
		Subrequest:       d.tellSubrequest,
		AdmitCustomer:    d.limits.Admit,
		GiveBack:         d.limits.GiveBack,
	})
	d.atEnd(cleanUp)
	d.buildLedger()
	d.buildMembers()
	return nil
}

// buildLedger makes what brings hosts and revisions here from the platform.
func (d *daemon) buildLedger() {
	s := d.config.Settings
	d.hosts = newHostList(d.config.Store, s.Platform.Prefix)
	d.ledger = revision.New(revision.Config{
		Store:    d.config.Store,
		Prefix:   s.Platform.Prefix,
		OnError:  d.health.Failed,
		OnAnswer: d.health.Answered,
	})
	d.source = d.newSource()
}

// buildMembers makes the table of hosts, in which this one begins a new incarnation.
func (d *daemon) buildMembers() {
	s := d.config.Settings
	d.members = membership.New(membership.Config{
		Self: member.Host{
			Name:       s.Name,
			DataCentre: s.DataCentre,
			Peers:      s.Listen.Peers,
			Control:    s.Listen.Control,
			Start:      uuid.NewString(),
		},
		Registers: d.registers(),
		Logger:    d.config.Logger,
		Peers:     d.peers,
		Record: record.Config{
			Host:       s.Name,
			Store:      d.config.Store,
			Prefix:     s.Platform.Prefix,
			FirstStart: s.FirstStart,
			Health:     d.health,
			Logger:     d.config.Logger,
			Unused:     d.retries.Clear,
		},
		Plan:     d.plan.Load,
		Services: d.declaredServices,
		Reapply:  d.retake,
		Ask:      d.ask,
	})
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
	if current := d.inForce.Load(); current != nil {
		status.Revision = current.Revision.Number
		status.Ready = !status.Stopping
	}
	return status
}
