package daemon

import (
	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/quarantinesync"
)

// newQuarantines returns the syncer of quarantined requests.
func (d *daemon) newQuarantines() *quarantinesync.Syncer {
	return quarantinesync.New(quarantinesync.Config{
		Host:          d.config.Settings.Name,
		Store:         d.config.Store,
		Prefix:        d.config.Settings.Platform.Prefix + "/quarantine",
		NotifyService: d.notifyQuarantine,
		Gossip:        d.gossipQuarantine,
		Watches:       d.watchesQuarantines,
		Logger:        d.config.Logger,
		Scope:         d.metrics.Scope,
		OnError:       d.health.RecordFailure,
		OnAnswer:      d.health.RecordSuccess,
	})
}

// watchesQuarantines reports whether this daemon follows quarantines in the store: if
// it watches the store anyway, or if no other daemon has answered it.
func (d *daemon) watchesQuarantines() bool {
	return d.declarations.Watches() || !d.declarations.PeerAnswered()
}

// notifyQuarantine notifies the daemons of the service's backend servers of suspected
// and quarantined requests. A daemon that is not notified learns of a quarantine from
// others or the store, and of a suspected request when its own backend server ends.
func (d *daemon) notifyQuarantine(service string, records []quarantine.Record) {
	d.peers.Notify(d.hostsOfService(service), control.MethodQuarantine, control.Quarantine{Records: records})
}

// gossipQuarantine notifies a few other daemons, in this data centre and in others, of
// a quarantine that has begun or ended.
func (d *daemon) gossipQuarantine(records []quarantine.Record) {
	plan := d.declarations.Plan()
	if plan == nil {
		return // hosts discovered later read it in the store
	}
	d.peers.Notify(plan.NotifyTargets(), control.MethodQuarantine, control.Quarantine{Records: records})
}
