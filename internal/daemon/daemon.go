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
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/declaration"
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

// build makes the parts, each after those that it is given. What a part calls of a later one it calls
// by way of d.
func (d *daemon) build() error {
	if err := d.readKeys(); err != nil {
		return err
	}
	d.buildMetrics()
	d.health = storehealth.New(storehealth.Config{Logger: d.config.Logger})
	d.buildPeers()
	d.budgets = retry.NewBudgets(retry.Config{Began: d.started, Borrows: true})
	d.buildMembers()
	d.quarantines = d.newQuarantines()
	d.buildLedger()
	d.buildDeclarations()
	d.buildLender()
	d.buildLimits()
	d.runs = runs.New()
	d.buildSidecar()
	d.buildIngress()
	return nil
}

func (d *daemon) buildMetrics() {
	var cleanUp func()
	d.metrics, cleanUp = metric.New(metric.Config{DataCentre: d.config.Settings.DataCentre})
	d.atEnd(cleanUp)
}

func (d *daemon) buildPeers() {
	var cleanUp func()
	d.peers, cleanUp = control.NewClient(control.ClientConfig{
		TLS:        d.clientTLS(),
		Far:        d.isFar,
		DataCentre: d.config.Settings.DataCentre,
		Logger:     d.config.Logger,
	})
	d.atEnd(cleanUp)
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
			Unused:     d.budgets.Clear,
		},
		Plan:     func() *gossip.Plan { return d.declarations.Plan() },
		Services: func() ([]fleet.Service, bool) { return d.declarations.Services() },
		Reapply:  func() { d.declarations.Reapply() },
		Ask:      func(ctx context.Context, address string) bool { return d.declarations.Ask(ctx, address) },
	})
}

// registers reports whether hosts and backend servers register themselves.
func (d *daemon) registers() bool {
	return d.config.Settings.Source.Declared == settings.DeclaredByPlatform
}

func (d *daemon) buildLedger() {
	d.ledger = revision.New(revision.Config{
		Store:    d.config.Store,
		Prefix:   d.config.Settings.Platform.Prefix,
		OnError:  d.health.Failed,
		OnAnswer: d.health.Answered,
	})
}

func (d *daemon) buildDeclarations() {
	s := d.config.Settings
	config := declaration.Config{
		Host:        s.Name,
		DataCentre:  s.DataCentre,
		Seeds:       s.Seeds,
		Registers:   d.registers(),
		Logger:      d.config.Logger,
		Health:      d.health,
		Peers:       d.peers,
		Away:        d.isAway,
		Members:     d.members,
		Quarantines: d.quarantines,
		Source:      d.source(),
		Publish:     d.ledger.Publish,
		Apply:       d.apply,
	}
	if !d.registers() {
		config.WhileWatching = d.followDrainingHosts
	}
	d.declarations = declaration.New(config)
}

// source returns where the settings say that declarations come from.
func (d *daemon) source() declaration.Source {
	if d.config.Settings.Source.Declared == settings.DeclaredByOperators {
		return declaration.FromOperators(d.ledger)
	}
	return declaration.FromStore(declaration.StoreConfig{
		Store:    d.config.Store,
		Stored:   d.config.StoredDeclaration,
		Settings: func() settings.Source { return d.live.Load().Source },
		Health:   d.health,
		Logger:   d.config.Logger,
	})
}

// apply gives what is in force to every part.
func (d *daemon) apply(index *fleet.Index) {
	d.sidecar.Reconfigure(index)
	d.limits.Reconfigure(index.Declaration)
	d.ingress.Reconfigure(index)
}

func (d *daemon) buildLender() {
	d.lender = lend.New(lend.Config{
		Host:       d.config.Settings.Name,
		DataCentre: d.config.Settings.DataCentre,
		Budgets:    d.budgets,
		Hosts:      d.declarations.Hosts,
		Away:       d.isAway,
		Call:       d.peers.CallHost,
		Scope:      d.metrics.Scope,
	})
}

func (d *daemon) buildLimits() {
	d.limits = limits.New(limits.Config{
		Host:       d.config.Settings.Name,
		DataCentre: d.config.Settings.DataCentre,
		Peers:      d.peers,
		Away:       d.isAway,
	})
}

// isAway reports whether the host of that name does not answer the ingress.
func (d *daemon) isAway(host string) bool { return d.ingress.Away(host) }

func (d *daemon) buildSidecar() {
	var cleanUp func()
	d.sidecar, cleanUp = sidecar.New(sidecar.Config{
		Host:        d.config.Settings.Name,
		Off:         d.config.Settings.Experiments.Off,
		Logger:      d.config.Logger,
		Scope:       d.metrics.Scope,
		Answered:    func(good bool) { d.ingress.ServerAnswered(good) },
		Peer:        d.sidecarPeer(),
		Runs:        d.runs,
		Retries:     d.budgets,
		BorrowRetry: d.lender.Borrow,
		Quarantine:  d.quarantines,
	})
	d.atEnd(cleanUp)
}

func (d *daemon) buildIngress() {
	s := d.config.Settings
	var cleanUp func()
	d.ingress, cleanUp = ingress.New(ingress.Config{
		Host:             s.Name,
		DataCentre:       s.DataCentre,
		Service:          s.Service,
		Off:              s.Experiments.Off,
		TLS:              d.clientTLS(),
		HeaderBytes:      s.Limits.HeaderBytes,
		Logger:           d.config.Logger,
		Scope:            d.metrics.Scope,
		Runs:             d.runs,
		Retries:          d.budgets,
		BorrowRetry:      d.lender.Borrow,
		HostsCounted:     d.members.HostsCounted,
		Local:            d.sidecar.Do,
		LocalReservation: d.sidecar.Reserve,
		Far:              d.isFar,
		Ping:             d.ping,
		Silent:           d.members.CheckGone,
		Subrequest:       d.tellSubrequest,
		AdmitCustomer:    d.limits.Admit,
		GiveBack:         d.limits.GiveBack,
	})
	d.atEnd(cleanUp)
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
