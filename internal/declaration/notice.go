package declaration

import (
	"context"
	"encoding/json"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/revision"
)

// receiveNotice fetches the revision that another daemon announces, if it is higher than the
// current one.
func (f *Follower) receiveNotice(notice control.Notice) {
	if notice.Revision <= f.Revision() {
		return
	}
	if from, ok := f.peerOf(notice.Host); ok {
		go f.fetchAnnounced(notice.Revision, from)
	}
}

// peerOf returns the daemon of a host. Without a declaration, the host is looked up among the
// registered ones.
func (f *Follower) peerOf(name string) (peer, bool) {
	if index, declared := f.Index(); declared {
		host, ok := index.Host(name)
		return peer{address: f.config.Peers.Address(host), dataCentre: host.DataCentre}, ok
	}
	host, ok := f.config.Members.Host(name)
	return peer{address: host.Control, dataCentre: host.DataCentre}, ok
}

// fetchAnnounced fetches a revision that the daemon has announced. Several daemons announce it at the
// same time: it is fetched from one after the other, until one has sent it.
func (f *Follower) fetchAnnounced(revision int64, from peer) {
	f.fetching.Lock()
	defer f.fetching.Unlock()
	if revision > f.Revision() {
		f.fetch(context.Background(), from)
	}
}

// notifyPeers notifies a few other daemons of the revision that was just put in force.
func (f *Follower) notifyPeers(r revision.Revision, plan *gossip.Plan) {
	notice := control.Notice{Host: f.config.Host, Revision: r.Number}
	f.config.Peers.Notify(plan.NotifyTargets(), control.MethodNotice, notice)
}

// HandleNotice handles another daemon's notice of a revision.
func (f *Follower) HandleNotice(_ context.Context, params json.RawMessage) (any, error) {
	var notice control.Notice
	if err := control.Decode(params, &notice); err != nil {
		return nil, err
	}
	f.receiveNotice(notice)
	return control.Done{}, nil
}
