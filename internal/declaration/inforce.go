package declaration

import (
	"context"
	"math/rand/v2"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/revision"
)

// apply puts a revision in force if it is higher than the current one, and notifies a few other
// daemons.
func (f *Follower) apply(r revision.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.inForce.Load(); current != nil && current.Revision.Number >= r.Number {
		return
	}
	if !f.parse(r) {
		return
	}
	f.putInForce(r)
	f.notifyPeers(r, f.plan.Load())
	event.Log(f.config.Logger, event.DeclarationInForce, "revision", r.Number, "change", r.Accepted.ID,
		"author", r.Accepted.Author, "reason", r.Accepted.Reason)
}

// parse parses the revision into declared and reports whether it is valid. The caller holds mu.
func (f *Follower) parse(r revision.Revision) bool {
	declaration, err := f.config.Source.Parse(r.YAML)
	if numberErr := revision.CheckNumber(r.Number); numberErr != nil {
		err = numberErr // another daemon may pass on what another writer left
	}
	if err != nil {
		event.Log(f.config.Logger, event.DeclarationRefused, "revision", r.Number, "error", err)
		return false
	}
	f.declared = declaration
	return true
}

// Reapply puts the declaration in force again with the hosts and backend servers
// that are currently registered.
func (f *Follower) Reapply() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.inForce.Load(); current != nil {
		f.putInForce(current.Revision)
		return
	}
	f.updatePlan(f.config.Members.Complete(fleet.Declaration{}, nil).Hosts)
}

// updatePlan replaces the plan of which hosts to notify.
func (f *Follower) updatePlan(hosts []fleet.Host) {
	f.plan.Store(gossip.NewPlan(gossip.Config{
		Host:       f.config.Host,
		DataCentre: f.config.DataCentre,
		Random:     rand.Uint64,
	}, hosts))
}

// putInForce builds the index of what is declared and registered, and distributes it
// to every part of the daemon. The caller holds mu.
func (f *Follower) putInForce(r revision.Revision) {
	evacuated := f.config.Evacuations.Evacuated()
	index := fleet.NewIndex(f.config.Members.Complete(f.declared, evacuated)).WithEvacuated(evacuated)
	f.config.Apply(index)
	f.updatePlan(index.Declaration.Hosts)
	f.inForce.Store(&InForce{Revision: r, Index: index})
}

// Publish publishes an operator's change as the next revision and puts it in force
// here immediately, so that the operator's next request sees it.
func (f *Follower) Publish(ctx context.Context, change revision.Change) (revision.Accepted, error) {
	accepted, err := f.config.Publish(ctx, change)
	if err != nil {
		return revision.Accepted{}, err
	}
	event.Log(f.config.Logger, event.DeclarationAccepted, "revision", accepted.Revision, "change", accepted.ID, "author", accepted.Author)
	f.apply(revision.Revision{Number: accepted.Revision, YAML: change.YAML, Accepted: accepted})
	return accepted, nil
}

// Current returns the declaration in force, or false if there is none.
func (f *Follower) Current() (InForce, bool) {
	current := f.inForce.Load()
	if current == nil {
		return InForce{}, false
	}
	return *current, true
}

// Index returns the index of the declaration in force, or false if there is none.
func (f *Follower) Index() (*fleet.Index, bool) {
	current := f.inForce.Load()
	if current == nil {
		return nil, false
	}
	return current.Index, true
}

// Hosts returns the hosts of the declaration in force, or false if there is none.
func (f *Follower) Hosts() ([]fleet.Host, bool) {
	index, ok := f.Index()
	if !ok {
		return nil, false
	}
	return index.Declaration.Hosts, true
}

// Services returns the services of the declaration in force, or false if there is none.
func (f *Follower) Services() ([]fleet.Service, bool) {
	index, ok := f.Index()
	if !ok {
		return nil, false
	}
	return index.Declaration.Services, true
}

// Plan returns the plan of which hosts to notify, or nil while no other host is known.
func (f *Follower) Plan() *gossip.Plan { return f.plan.Load() }

// Revision returns the number of the revision in force, or 0 if there is none.
func (f *Follower) Revision() int64 {
	if current := f.inForce.Load(); current != nil {
		return current.Revision.Number
	}
	return 0
}

// Reparse parses the revision in force again, after the settings have changed.
func (f *Follower) Reparse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.inForce.Load()
	if current == nil {
		return
	}
	if f.parse(current.Revision) {
		f.putInForce(current.Revision)
	}
}
