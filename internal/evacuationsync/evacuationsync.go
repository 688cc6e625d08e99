// Package evacuationsync keeps a daemon's view of the evacuated data centres in step with the store
// and the other daemons.
//
// Each evacuation is a key in the store: it begins when the key is written and ends when the key is
// removed. Daemons that watch the store receive the change there; each daemon that receives a change
// passes it on to a few others, and daemons that poll each other compare their states. The revisions
// of the store order the changes.
//
// The package owns the table of evacuations. It relies on internal/evacuation to decide which state
// is in force, and on Config.OnChange to apply it.
//
// # Usage
//
//	s := evacuationsync.New(evacuationsync.Config{Store: kv, Prefix: "tidelift/evacuations/", Gossip: gossip, OnChange: reapply, ...})
//	s.ApplyBatch(batch)                // from a watch of the store
//	s.Merge(view)                      // from another daemon
//	err := s.Set(ctx, "csepel", true)  // on behalf of an operator
//	names := s.Evacuated()
package evacuationsync

import (
	"context"
	"log/slog"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/evacuation"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/store"
)

// Config configures a Syncer.
type Config struct {
	// Store is the platform's key-value store. The key of an evacuation is Prefix followed by the
	// name of the data centre.
	Store  store.Store
	Prefix string
	// ReadOnly reports that another system writes the keys, so that Set is refused.
	ReadOnly bool
	// Gossip sends changed states to a few other daemons, without waiting for them.
	Gossip func(evacuation.View)
	// OnChange is called after the set of evacuated data centres has changed.
	OnChange func()
	// Logger receives the events of evacuations.
	Logger *slog.Logger
}

// Syncer synchronizes the evacuations of a daemon. It is safe for concurrent use.
type Syncer struct {
	config Config

	mu    sync.Mutex
	table *evacuation.Table
}

// New returns a Syncer that knows of no evacuation.
func New(config Config) *Syncer { return &Syncer{config: config, table: evacuation.NewTable()} }

// Evacuated returns the names of the evacuated data centres, sorted.
func (s *Syncer) Evacuated() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Evacuated()
}

// View returns the view to send to another daemon.
func (s *Syncer) View() evacuation.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.View()
}

// Sum returns a hash of all states; zero if there are none.
func (s *Syncer) Sum() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Sum()
}

// ApplyBatch applies the keys of evacuations in a batch of the store, which may hold other keys.
func (s *Syncer) ApplyBatch(batch store.Batch) {
	view := evacuation.View{States: s.decode(batch.Items)}
	if batch.Complete {
		view.Listed = batch.Revision
	}
	s.Merge(view)
}

// decode returns the states that the keys of evacuations describe.
func (s *Syncer) decode(items []store.Item) []evacuation.State {
	var states []evacuation.State
	for _, item := range items {
		if name, ok := strings.CutPrefix(item.Key, s.config.Prefix); ok {
			states = append(states, evacuation.State{DataCentre: name, Evacuated: !item.Deleted, Revision: item.Revision})
		}
	}
	return states
}

// Merge merges the view of another daemon.
func (s *Syncer) Merge(view evacuation.View) {
	s.mu.Lock()
	changed := s.table.Merge(view)
	s.mu.Unlock()
	s.apply(changed)
}

// apply applies changed states and passes them on.
func (s *Syncer) apply(changed []evacuation.State) {
	if len(changed) == 0 {
		return
	}
	for _, c := range changed {
		e := event.DataCentreInUse
		if c.Evacuated {
			e = event.DataCentreEvacuated
		}
		event.Log(s.config.Logger, e, "evacuated", c.DataCentre, "revision", c.Revision)
	}
	s.config.OnChange()
	s.config.Gossip(evacuation.View{States: changed})
}

// Set begins or ends the evacuation of a data centre. Errors are of type *result.Error.
func (s *Syncer) Set(ctx context.Context, dataCentre string, evacuated bool) error {
	if s.config.ReadOnly {
		return result.New(result.DeclaredElsewhere).WithDetail("evacuations are declared under %s in the platform's store", s.config.Prefix)
	}
	change := store.Change{Remove: []string{s.config.Prefix + dataCentre}}
	if evacuated {
		change = store.Change{Puts: []store.Put{{Key: s.config.Prefix + dataCentre, Data: []byte("{}")}}}
	}
	revision, err := s.config.Store.Commit(ctx, change)
	switch {
	case errors.Is(err, store.ErrNotApplied):
		return result.Wrap(result.PlatformDown, err)
	case err != nil:
		return result.Wrap(result.ChangeUnknown, err)
	}
	s.Merge(evacuation.View{States: []evacuation.State{{DataCentre: dataCentre, Evacuated: evacuated, Revision: revision}}})
	return nil
}
