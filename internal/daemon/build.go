package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/tideliftd/tidelift/internal/body"
	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/declaration"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/hostlist"
	"github.com/tideliftd/tidelift/internal/ingress"
	"github.com/tideliftd/tidelift/internal/lend"
	"github.com/tideliftd/tidelift/internal/limits"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/membership"
	"github.com/tideliftd/tidelift/internal/metric"
	"github.com/tideliftd/tidelift/internal/pipeline"
	"github.com/tideliftd/tidelift/internal/record"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/runs"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/sidecar"
	"github.com/tideliftd/tidelift/internal/storehealth"
)

// build creates the parts in the order of their dependencies. A part calls parts
// that are created later through d.
func (d *daemon) build() error {
	if err := d.readKeys(); err != nil {
		return err
	}
	d.buildMetrics()
	d.health = storehealth.New(storehealth.Config{Logger: d.config.Logger})
	d.buildPeers()
	d.budgets = retry.NewBudgets(retry.Config{Host: d.config.Settings.Name, StartedAt: d.started, Borrows: true})
	d.buildMembers()
	d.quarantines = d.newQuarantines()
	d.evacuations = d.newEvacuations()
	d.buildLedger()
	d.buildHostList()
	d.buildDeclarations()
	d.buildLender()
	d.buildLimits()
	d.runs = runs.New()
	d.bodies = d.newBodyMemory()
	d.buildSidecar()
	d.buildIngress()
	return nil
}

func (d *daemon) buildMetrics() {
	var cleanUp func()
	d.metrics, cleanUp = metric.New(metric.Config{DataCentre: d.config.Settings.DataCentre})
	d.addCleanUp(cleanUp)
}

func (d *daemon) buildPeers() {
	var cleanUp func()
	d.peers, cleanUp = control.NewClient(control.ClientConfig{
		TLS:            d.clientTLS(),
		ShouldCompress: d.shouldCompress,
		DataCentre:     d.config.Settings.DataCentre,
		Logger:         d.config.Logger,
	})
	d.addCleanUp(cleanUp)
}

// buildMembers creates the membership, in which this host begins a new incarnation.
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
			Host:          s.Name,
			Store:         d.config.Store,
			Prefix:        s.Platform.Prefix,
			FirstStart:    s.FirstStart,
			Health:        d.health,
			Logger:        d.config.Logger,
			MustCount:     d.mustCountHosts,
			OnShareUnused: d.budgets.SetSlackUnused,
		},
		Plan:     func() *gossip.Plan { return d.declarations.Plan() },
		Services: func() ([]fleet.Service, bool) { return d.declarations.Services() },
		SetCold:  func(name string, remaining time.Duration) { d.sidecar.SetCold(name, remaining) },
		Reapply:  func() { d.declarations.Reapply() },
		Sync:     func(ctx context.Context, address string) bool { return d.declarations.Sync(ctx, address) },
	})
}

// mustCountHosts reports whether this daemon has to list the hosts itself: it is one of those that
// watch the store, or no other daemon has answered it.
func (d *daemon) mustCountHosts() bool {
	plan := d.declarations.Plan()
	return plan == nil || plan.IsWatcher() || !d.declarations.PeerAnswered()
}

// registers reports whether hosts and backend servers register themselves.
func (d *daemon) registers() bool {
	return d.config.Settings.Source.Declared == settings.DeclaredByPlatform
}

func (d *daemon) buildLedger() {
	d.ledger = revision.New(revision.Config{
		Store:    d.config.Store,
		Prefix:   d.config.Settings.Platform.Prefix,
		OnError:  d.health.RecordFailure,
		OnAnswer: d.recordWatchAnswer,
	})
}

func (d *daemon) buildHostList() {
	d.hostList = hostlist.New(hostlist.Config{
		Store:    d.config.Store,
		Prefix:   d.config.Settings.Platform.Prefix,
		Host:     d.config.Settings.Name,
		Peers:    d.peers,
		Index:    func() (*fleet.Index, bool) { return d.declarations.Index() },
		Draining: func(draining bool) { d.sidecar.HostDraining(draining) },
		Logger:   d.config.Logger,
		OnError:  d.health.RecordFailure,
		OnAnswer: d.health.RecordSuccess,
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
		Scope:       d.metrics.Scope,
		Health:      d.health,
		Peers:       d.peers,
		Unreachable: d.isUnreachable,
		Members:     d.members,
		Quarantines: d.quarantines,
		Evacuations: d.evacuations,
		Source:      d.source(),
		Publish:     d.ledger.Publish,
		Apply:       d.apply,
	}
	if !d.registers() {
		config.WhileWatching = d.followOperatorKeys
	}
	d.declarations = declaration.New(config)
}

// source returns the source of declarations that the settings select.
func (d *daemon) source() declaration.Source {
	if d.config.Settings.Source.Declared == settings.DeclaredByOperators {
		return declaration.FromOperators(d.ledger)
	}
	return declaration.FromStore(declaration.StoreConfig{
		Store:    d.config.Store,
		Stored:   d.config.StoredDeclaration,
		Settings: func() settings.Source { return d.live.Load().Source },
		OnBatch:  d.evacuations.ApplyBatch,
		OnError:  d.health.RecordFailure,
		OnAnswer: d.recordWatchAnswer,
		Logger:   d.config.Logger,
	})
}

// recordWatchAnswer records that the store answered a watch of the declaration.
func (d *daemon) recordWatchAnswer() { d.declarations.RecordAnswer() }

// apply passes the declaration in force to the parts that depend on it.
func (d *daemon) apply(index *fleet.Index) {
	d.sidecar.Reconfigure(index)
	d.limits.Reconfigure(index.Declaration)
	d.ingress.Reconfigure(index)
}

func (d *daemon) buildLender() {
	d.lender = lend.New(lend.Config{
		Host:        d.config.Settings.Name,
		DataCentre:  d.config.Settings.DataCentre,
		Budgets:     d.budgets,
		Hosts:       d.declarations.Hosts,
		Unreachable: d.isUnreachable,
		Call:        d.peers.CallHost,
		Scope:       d.metrics.Scope,
	})
}

func (d *daemon) buildLimits() {
	d.limits = limits.New(limits.Config{
		Host:        d.config.Settings.Name,
		DataCentre:  d.config.Settings.DataCentre,
		Peers:       d.peers,
		Unreachable: d.isUnreachable,
	})
}

// isUnreachable reports whether the ingress finds the named host unreachable.
func (d *daemon) isUnreachable(host string) bool { return d.ingress.Unreachable(host) }

// newBodyMemory returns the memory for bodies, which the ingress and the sidecar share; nil if the
// settings do not name the memory of the daemon.
func (d *daemon) newBodyMemory() *body.Memory {
	granted := int64(d.config.Settings.Limits.MemoryMB) * megabyte
	if granted == 0 {
		return nil
	}
	return body.NewMemory(body.MemoryConfig{Limit: granted / bodyShare, Scope: d.metrics.Scope})
}

func (d *daemon) buildSidecar() {
	var onLeaving func(string)
	if d.registers() {
		onLeaving = d.members.RecordLeaving
	}
	var cleanUp func()
	d.sidecar, cleanUp = sidecar.New(sidecar.Config{
		Host:              d.config.Settings.Name,
		LongLatencyTarget: d.config.Settings.LongRequests.LatencyTarget,
		Off:               d.config.Settings.Experiments.Off,
		Logger:            d.config.Logger,
		Scope:             d.metrics.Scope,
		OnAnswer:          func(good bool) { d.ingress.ServerAnswered(good) },
		OnLeaving:         onLeaving,
		BodyMemory:        d.bodies,
		Peer:              d.sidecarPeer(),
		Runs:              d.runs,
		Retries:           d.budgets,
		BorrowRetry:       d.lender.Borrow,
		Quarantine:        d.quarantines,
	})
	d.addCleanUp(cleanUp)
}

func (d *daemon) buildIngress() {
	s := d.config.Settings
	var cleanUp func()
	d.ingress, cleanUp = ingress.New(ingress.Config{
		Host:                 s.Name,
		DataCentre:           s.DataCentre,
		Service:              s.Service,
		LongLatencyTarget:    s.LongRequests.LatencyTarget,
		Off:                  s.Experiments.Off,
		TLS:                  d.clientTLS(),
		HeaderBytes:          s.Limits.HeaderBytes,
		BodyMemory:           d.bodies,
		Logger:               d.config.Logger,
		Scope:                d.metrics.Scope,
		Runs:                 d.runs,
		Retries:              d.budgets,
		BorrowRetry:          d.lender.Borrow,
		ShareUsable:          d.members.ShareUsable,
		Local:                d.sidecar.Do,
		LocalReservation:     d.sidecar.Reserve,
		ShouldCompress:       d.shouldCompress,
		AnswersWait:          func(ctx context.Context) bool { return pipeline.ConnOf(ctx).Unanswered() > 0 },
		Ping:                 d.ping,
		OnHostUnresponsive:   d.members.CheckGone,
		OnSubrequestEvidence: d.sendSubrequestEvidence,
		AdmitCustomer:        d.limits.Admit,
		RefundCustomer:       d.limits.Refund,
	})
	d.addCleanUp(cleanUp)
}
