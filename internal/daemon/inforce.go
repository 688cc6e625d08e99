package daemon

import (
	"context"
	"math/rand/v2"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/operator"
	"github.com/tideliftd/tidelift/internal/revision"
)

// take puts a revision in force, if it is above the one that is.
func (d *daemon) take(r revision.Revision) {
	d.taking.Lock()
	defer d.taking.Unlock()
	if current := d.inForce.Load(); current != nil && current.Revision.Number >= r.Number {
		return
	}
	if !d.declare(r) {
		return
	}
	d.putInForce(r)
	d.notifyPeers(r, d.plan.Load())
	event.Log(d.config.Logger, event.DeclarationInForce, "revision", r.Number, "change", r.Accepted.ID,
		"author", r.Accepted.Author, "reason", r.Accepted.Reason)
}

// declare reads what the revision declares and keeps it; it says false if that is
// wrong. The caller holds taking.
func (d *daemon) declare(r revision.Revision) bool {
	declaration, err := d.source.parse(r.YAML)
	if err != nil {
		event.Log(d.config.Logger, event.DeclarationRefused, "revision", r.Number, "error", err)
		return false
	}
	d.declared = declaration
	return true
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
	d.planWith(d.members.Complete(fleet.Declaration{}).Hosts)
}

// planWith makes the plan of whom to tell of updates.
func (d *daemon) planWith(hosts []fleet.Host) {
	d.plan.Store(gossip.NewPlan(gossip.Config{
		Host:       d.config.Settings.Name,
		DataCentre: d.config.Settings.DataCentre,
		Random:     rand.Uint64,
	}, hosts))
}

// putInForce makes the index of what is declared and registered, and gives it to
// every part. The caller holds taking.
func (d *daemon) putInForce(r revision.Revision) {
	index := fleet.NewIndex(d.members.Complete(d.declared))
	d.sidecar.Reconfigure(index)
	d.limits.Reconfigure(index.Declaration)
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

// currentDeclaration returns what is in force; it says false if nothing is.
func (d *daemon) currentDeclaration() (operator.InForce, bool) {
	current := d.inForce.Load()
	if current == nil {
		return operator.InForce{}, false
	}
	return *current, true
}

// declaredHosts returns the hosts of the declaration in force; it says false if none is.
func (d *daemon) declaredHosts() ([]fleet.Host, bool) {
	current := d.inForce.Load()
	if current == nil {
		return nil, false
	}
	return current.Index.Declaration.Hosts, true
}

// declaredServices returns the services of the declaration in force; it says false if none is.
func (d *daemon) declaredServices() ([]fleet.Service, bool) {
	current := d.inForce.Load()
	if current == nil {
		return nil, false
	}
	return current.Index.Declaration.Services, true
}

// revision returns the number of the revision in force; 0 if none is.
func (d *daemon) revision() int64 {
	if current := d.inForce.Load(); current != nil {
		return current.Revision.Number
	}
	return 0
}

// reparse reads the declaration in force again, with other settings.
func (d *daemon) reparse() {
	d.taking.Lock()
	defer d.taking.Unlock()
	current := d.inForce.Load()
	if current == nil {
		return
	}
	if d.declare(current.Revision) {
		d.putInForce(current.Revision)
	}
}
