package declaration

import (
	"context"
	"encoding/json"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/revision"
)

// receiveNotice fetches a revision that another daemon says it has. A daemon without a
// declaration knows the hosts that registered themselves.
func (f *Follower) receiveNotice(notice control.Notice) {
	if notice.Revision <= f.Revision() {
		return
	}
	if index, declared := f.Index(); declared {
		if host, ok := index.Host(notice.Host); ok {
			go f.fetch(context.Background(), f.config.Peers.Address(host))
		}
		return
	}
	if host, ok := f.config.Members.Host(notice.Host); ok {
		go f.fetch(context.Background(), host.Control)
	}
}

// notifyPeers tells a few other daemons of the revision that was just put in force.
func (f *Follower) notifyPeers(r revision.Revision, plan *gossip.Plan) {
	notice := control.Notice{Host: f.config.Host, Revision: r.Number}
	f.config.Peers.Notify(plan.NotifyTargets(), control.MethodNotice, notice)
}

// HandleNotice answers another daemon that tells of a revision.
func (f *Follower) HandleNotice(_ context.Context, params json.RawMessage) (any, error) {
	var notice control.Notice
	if err := control.Decode(params, &notice); err != nil {
		return nil, err
	}
	f.receiveNotice(notice)
	return control.Done{}, nil
}
