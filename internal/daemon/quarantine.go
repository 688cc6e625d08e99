package daemon

import (
	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
)

// newQuarantines returns what keeps the quarantine of requests.
func (d *daemon) newQuarantines() *quarantinesync.Syncer {
	return quarantinesync.New(quarantinesync.Config{
		Host:          d.config.Settings.Name,
		Store:         d.config.Store,
		Prefix:        d.config.Settings.Platform.Prefix + "/quarantine",
		NotifyService: d.tellQuarantine,
		Gossip:        d.spreadQuarantine,
		Watches:       d.watchesQuarantines,
		Logger:        d.config.Logger,
		Scope:         d.metrics.Scope,
		OnError:       d.health.RecordFailure,
		OnAnswer:      d.health.RecordSuccess,
	})
}

// watchesQuarantines reports whether this daemon follows quarantines in the store: if it watches that anyway, or
// if no other daemon has told it what there is.
func (d *daemon) watchesQuarantines() bool {
	return d.declarations.Watches() || !d.declarations.PeerAnswered()
}

// tellQuarantine tells the daemons that keep backend servers of the service of suspected and quarantined requests. Whoever
// is left out learns of a quarantine from others or the store, and of what is suspected when it sees an end itself.
func (d *daemon) tellQuarantine(service string, records []quarantine.Record) {
	d.peers.Notify(d.hostsOfService(service), control.MethodQuarantine, control.Quarantine{Records: records})
}

// spreadQuarantine tells a few others, near and far, of a quarantine that has begun or ended.
func (d *daemon) spreadQuarantine(records []quarantine.Record) {
	plan := d.declarations.Plan()
	if plan == nil {
		return // whoever is found later reads it in the store
	}
	d.peers.Notify(plan.NotifyTargets(), control.MethodQuarantine, control.Quarantine{Records: records})
}
