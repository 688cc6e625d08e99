package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/evacuation"
	"github.com/tideliftd/tidelift/internal/evacuationsync"
	"github.com/tideliftd/tidelift/internal/store"
)

// evacuationWatchWait is the maximum wait of one watch of the evacuations. It bounds how long a
// silently broken connection keeps a change from being noticed.
const evacuationWatchWait = 3 * time.Second

// newEvacuations returns the syncer of evacuated data centres. The writer of the declaration
// writes their keys, too.
func (d *daemon) newEvacuations() *evacuationsync.Syncer {
	return evacuationsync.New(evacuationsync.Config{
		Store:    d.config.Store,
		Prefix:   d.evacuationPrefix(),
		ReadOnly: d.registers(),
		Gossip:   d.gossipEvacuations,
		OnChange: func() { d.declarations.Reapply() },
		Logger:   d.config.Logger,
	})
}

// evacuationPrefix returns the prefix of the keys that name evacuated data centres.
func (d *daemon) evacuationPrefix() string {
	if d.registers() {
		return d.config.StoredDeclaration.EvacuationPrefix
	}
	return d.config.Settings.Platform.Prefix + "/evacuations/"
}

// gossipEvacuations notifies a few other daemons, in this data centre and in others, of evacuations
// that have begun or ended.
func (d *daemon) gossipEvacuations(view evacuation.View) {
	plan := d.declarations.Plan()
	if plan == nil {
		return // hosts discovered later compare their states
	}
	d.peers.Notify(plan.NotifyTargets(), control.MethodEvacuations, view)
}

// handleEvacuations merges the evacuations that another daemon has received.
func (d *daemon) handleEvacuations(_ context.Context, params json.RawMessage) (any, error) {
	var received evacuation.View
	if err := control.Decode(params, &received); err != nil {
		return nil, err
	}
	d.evacuations.Merge(received)
	return control.Done{}, nil
}

// followOperatorKeys follows what operators write to the store beside the declaration, until ctx
// ends.
func (d *daemon) followOperatorKeys(ctx context.Context) {
	go d.hostList.Run(ctx)
	store.Follow(ctx, store.FollowConfig{
		Store:  d.config.Store,
		Prefix: d.evacuationPrefix(),
		Wait:   evacuationWatchWait,
		Apply: func(_ context.Context, batch store.Batch) error {
			d.evacuations.ApplyBatch(batch)
			return nil
		},
		OnError:  d.health.RecordFailure,
		OnAnswer: d.health.RecordSuccess,
	})
}
