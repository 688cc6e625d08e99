package declaration

import (
	"context"
	"math/rand/v2"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/revision"
)

// apply puts a revision in force, if it is above the one that is, and tells a few other daemons.
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

// parse reads what the revision declares into declared; false if that is wrong. The caller holds mu.
func (f *Follower) parse(r revision.Revision) bool {
	declaration, err := f.config.Source.Parse(r.YAML)
	if err != nil {
		event.Log(f.config.Logger, event.DeclarationRefused, "revision", r.Number, "error", err)
		return false
	}
	f.declared = declaration
	return true
}

// Reapply puts the declaration in force again with the hosts and backend servers
// that are known now.
func (f *Follower) Reapply() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current := f.inForce.Load(); current != nil {
		f.putInForce(current.Revision)
		return
	}
	f.planWith(f.config.Members.Complete(fleet.Declaration{}).Hosts)
}

// planWith makes the plan of which hosts to tell of updates.
func (f *Follower) planWith(hosts []fleet.Host) {
	f.plan.Store(gossip.NewPlan(gossip.Config{
		Host:       f.config.Host,
		DataCentre: f.config.DataCentre,
		Random:     rand.Uint64,
	}, hosts))
}

// putInForce makes the index of what is declared and registered, and gives it to
// every part. The caller holds mu.
func (f *Follower) putInForce(r revision.Revision) {
	index := fleet.NewIndex(f.config.Members.Complete(f.declared))
	f.config.Apply(index)
	f.planWith(index.Declaration.Hosts)
	f.inForce.Store(&InForce{Revision: r, Index: index})
}

// Publish makes an operator's change the next revision, and puts it in force
// here at once, so that the operator's next question sees it.
func (f *Follower) Publish(ctx context.Context, change revision.Change) (revision.Accepted, error) {
	accepted, err := f.config.Publish(ctx, change)
	if err != nil {
		return revision.Accepted{}, err
	}
	event.Log(f.config.Logger, event.DeclarationAccepted, "revision", accepted.Revision, "change", accepted.ID, "author", accepted.Author)
	f.apply(revision.Revision{Number: accepted.Revision, YAML: change.YAML, Accepted: accepted})
	return accepted, nil
}

// Current returns what is in force; false if nothing is.
func (f *Follower) Current() (InForce, bool) {
	current := f.inForce.Load()
	if current == nil {
		return InForce{}, false
	}
	return *current, true
}

// Index returns the index of the declaration in force; false if none is.
func (f *Follower) Index() (*fleet.Index, bool) {
	current := f.inForce.Load()
	if current == nil {
		return nil, false
	}
	return current.Index, true
}

// Hosts returns the hosts of the declaration in force; false if none is.
func (f *Follower) Hosts() ([]fleet.Host, bool) {
	index, ok := f.Index()
	if !ok {
		return nil, false
	}
	return index.Declaration.Hosts, true
}

// Services returns its services; false if none is in force.
func (f *Follower) Services() ([]fleet.Service, bool) {
	index, ok := f.Index()
	if !ok {
		return nil, false
	}
	return index.Declaration.Services, true
}

// Plan returns which hosts to tell of updates; nil while no other host is known.
func (f *Follower) Plan() *gossip.Plan { return f.plan.Load() }

// Revision returns the number of the revision in force; 0 if none is.
func (f *Follower) Revision() int64 {
	if current := f.inForce.Load(); current != nil {
		return current.Revision.Number
	}
	return 0
}

// Reparse reads the declaration in force again, with other settings.
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
