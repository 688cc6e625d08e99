// Package daemon puts the parts of tideliftd together and runs them.
//
// # Usage
//
//	err := daemon.Run(ctx, daemon.Config{Settings: s, Logger: logger, Force: force})
//
// Run returns after a planned stop: ctx ends, no new work is taken, what is in
// flight is finished, and the listeners close. Force, or the settings' stop
// limit, ends it earlier and cuts what is left.
//
// The steps of a start, in order: metrics, sidecar, ingress, platform, operator
// API, listeners, declaration. Without a declaration the daemon answers callers
// with the result code not-ready.
package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/ingress"
	"github.com/tideliftd/tidelift/internal/keys"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/metric"
	"github.com/tideliftd/tidelift/internal/operator"
	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/registry"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/sidecar"
	"github.com/tideliftd/tidelift/internal/spread"
	"github.com/tideliftd/tidelift/internal/store"
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
	// Desired reads what the platform's operator writes; it is used if the
	// settings say that the platform declares.
	Desired Desired
	// CheckIns makes the handler for check-ins of this host's backend servers.
	CheckIns func(CheckIns) http.Handler
	// ReadyPattern is the pattern under which readiness is asked.
	ReadyPattern string
}

// Desired reads a declaration that somebody else keeps in the store.
type Desired struct {
	// Key holds it.
	Key string
	// Number reads its revision, Parse all of it.
	Number func(data []byte) (int64, error)
	Parse  func(data []byte, s settings.Source) (fleet.Declaration, error)
}

// CheckIns takes what backend servers of this host say of themselves. Each
// returns once that is in force here.
type CheckIns struct {
	CheckIn func(registry.CheckIn)
	Leave   func(name string)
	OnError func(error)
}

// daemon holds the parts while they run.
type daemon struct {
	config   Config
	metrics  metric.Metrics
	sidecar  *sidecar.Sidecar
	ingress  *ingress.Ingress
	ledger   *revision.Ledger
	hosts    hostList
	peers    *control.Client
	started  time.Time
	stopping atomic.Bool
	taking   sync.Mutex // serialises take and retake; guards declared
	declared fleet.Declaration
	platform atomic.Pointer[platformState]
	inForce  atomic.Pointer[operator.InForce]
	live     atomic.Pointer[settings.Settings] // as the file says now
	source   source
	members  *members
	news     chan news
	plan     atomic.Pointer[spread.Plan]
	watching atomic.Bool
	lastSeen atomic.Int64 // when the platform was last known to answer, in Unix nanoseconds
	cleanUps []func()

	certificates *keys.Certificates // nil without mutual TLS
	tokens       *keys.Tokens       // nil without tokens
}

// platformState is what the platform's last answer showed.
type platformState string

const (
	platformUnknown platformState = "unknown"
	platformUp      platformState = "up"
	platformDown    platformState = "down"
)

// Run runs a daemon until ctx ends and its planned stop is done.
func Run(ctx context.Context, config Config) error {
	d := &daemon{config: config, started: time.Now(), news: make(chan news, newsWaiting)}
	d.live.Store(&config.Settings)
	defer d.cleanUp()
	d.setPlatform(platformUnknown)
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
	if d.registers() {
		go d.join(followCtx)
	}
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
	d.peers, cleanUp = control.NewClient(control.ClientConfig{TLS: d.clientTLS()})
	d.atEnd(cleanUp)
	d.sidecar, cleanUp = sidecar.New(sidecar.Config{Host: s.Name, Logger: d.config.Logger, Scope: metrics.Scope, Peer: d.sidecarPeer()})
	d.atEnd(cleanUp)
	d.ingress, cleanUp = ingress.New(ingress.Config{
		Host:        s.Name,
		DataCentre:  s.DataCentre,
		Service:     s.Service,
		TLS:         d.clientTLS(),
		HeaderBytes: s.Limits.HeaderBytes,
		Logger:      d.config.Logger,
		Scope:       metrics.Scope,
		Local:       d.sidecar.Do,
		Ping:        d.ping,
		Silent:      d.checkGone,
	})
	d.atEnd(cleanUp)
	return d.buildLedger()
}

func (d *daemon) buildLedger() error {
	s := d.config.Settings
	d.hosts = newHostList(d.config.Store, s.Platform.Prefix)
	d.ledger = revision.New(revision.Config{
		Store:    d.config.Store,
		Prefix:   s.Platform.Prefix,
		OnError:  d.platformFailed,
		OnAnswer: d.platformAnswered,
	})
	d.source = d.newSource()
	d.members = newMembers(member.Host{
		Name:       s.Name,
		DataCentre: s.DataCentre,
		Peers:      s.Listen.Peers,
		Control:    s.Listen.Control,
		Start:      uuid.NewString(),
	})
	return nil
}

func (d *daemon) atEnd(cleanUp func()) { d.cleanUps = append(d.cleanUps, cleanUp) }

func (d *daemon) cleanUp() {
	for i := len(d.cleanUps) - 1; i >= 0; i-- {
		d.cleanUps[i]()
	}
}

func (d *daemon) setPlatform(state platformState) platformState {
	old := d.platform.Swap(&state)
	if old == nil {
		return state
	}
	return *old
}

func (d *daemon) platformFailed(err error) {
	d.notePlatform(d.platformLastSeen())
	if d.setPlatform(platformDown) != platformDown {
		event.Log(d.config.Logger, event.PlatformUnreachable, "error", err)
	}
}

func (d *daemon) platformAnswered() {
	if d.setPlatform(platformUp) == platformDown {
		event.Log(d.config.Logger, event.PlatformReachable)
	}
}

// take puts a revision in force, if it is above the one that is.
func (d *daemon) take(r revision.Revision) {
	d.taking.Lock()
	defer d.taking.Unlock()
	if current := d.inForce.Load(); current != nil && current.Revision.Number >= r.Number {
		return
	}
	declaration, err := d.source.parse(r.YAML)
	if err != nil {
		event.Log(d.config.Logger, event.DeclarationRefused, "revision", r.Number, "error", err)
		return
	}
	d.declared = declaration
	d.putInForce(r)
	d.notifyPeers(r, d.plan.Load())
	event.Log(d.config.Logger, event.DeclarationInForce, "revision", r.Number, "change", r.Accepted.ID,
		"author", r.Accepted.Author, "reason", r.Accepted.Reason)
}

// retake puts the declaration in force again with the hosts and backend servers
// that are known now.
func (d *daemon) retake() {
	d.taking.Lock()
	defer d.taking.Unlock()
	if current := d.inForce.Load(); current != nil {
		d.putInForce(current.Revision)
		return
	}
	d.planWith(d.members.complete(fleet.Declaration{}).Hosts)
}

// planWith makes the plan of whom to tell of news.
func (d *daemon) planWith(hosts []fleet.Host) {
	d.plan.Store(spread.NewPlan(spread.Config{
		Host:       d.config.Settings.Name,
		DataCentre: d.config.Settings.DataCentre,
		Random:     rand.Uint64,
	}, hosts))
}

// putInForce makes the index of what is declared and registered, and gives it to
// every part. The caller holds taking.
func (d *daemon) putInForce(r revision.Revision) {
	index := fleet.NewIndex(d.members.complete(d.declared))
	d.sidecar.Reconfigure(index)
	d.ingress.Reconfigure(index)
	d.planWith(index.Declaration.Hosts)
	d.inForce.Store(&operator.InForce{Revision: r, Index: index})
}

// publish makes an operator's change the next revision, and puts it in force
// here at once, so that the operator's next question sees it.
func (d *daemon) publish(ctx context.Context, change revision.Change) (revision.Accepted, error) {
	accepted, err := d.ledger.Publish(ctx, change)
	if err != nil {
		return revision.Accepted{}, err
	}
	event.Log(d.config.Logger, event.DeclarationAccepted, "revision", accepted.Revision, "change", accepted.ID, "author", accepted.Author)
	d.take(revision.Revision{Number: accepted.Revision, YAML: change.YAML, Accepted: accepted})
	return accepted, nil
}

func (d *daemon) status() operatorapi.Status {
	status := operatorapi.Status{
		Daemon:     d.config.Settings.Name,
		DataCentre: d.config.Settings.DataCentre,
		Version:    version.Version,
		Stopping:   d.stopping.Load(),
		Platform:   string(d.platformNow()),
		InFlight:   d.ingress.InFlight(),
		UptimeMs:   time.Since(d.started).Milliseconds(),
	}
	if current := d.inForce.Load(); current != nil {
		status.Revision = current.Revision.Number
		status.Ready = !status.Stopping
	}
	return status
}

func (d *daemon) currentDeclaration() (operator.InForce, bool) {
	current := d.inForce.Load()
	if current == nil {
		return operator.InForce{}, false
	}
	return *current, true
}
