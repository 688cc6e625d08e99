package declaration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/revision"
)

// maxAnnouncedFetches is the maximum number of announced fetches that run or wait. Fetches wait for each other, and
// one from a daemon that does not answer takes syncTimeout; announcements are repeated.
const maxAnnouncedFetches = 3

// receiveNotice fetches the revision that another daemon announces if it is higher than the
// current one, and otherwise records when the platform answered that daemon.
func (f *Follower) receiveNotice(notice control.Notice) {
	if notice.Revision <= f.Revision() {
		if notice.SilentMs == nil {
			return
		}
		if answeredAt, ok := answeredBefore(time.Now(), *notice.SilentMs); ok {
			f.receiveConfirmation(answeredAt)
		}
		return
	}
	if from, ok := f.peerOf(notice.Host); ok {
		go f.fetchAnnounced(notice.Revision, from)
	}
}

// RecordAnswer records that the platform answered a watch of this daemon, and notifies others that the declaration
// in force was the latest then.
func (f *Follower) RecordAnswer() {
	f.config.Health.RecordWatched()
	f.sendConfirmation(time.Now())
}

// receiveConfirmation records that the declaration in force was the latest when the platform answered another
// daemon, and passes it on if that is clearly later than what was known.
func (f *Follower) receiveConfirmation(answeredAt time.Time) {
	passOn := answeredAt.Sub(f.config.Health.LastSeen()) >= gossip.ConfirmStep
	f.config.Health.RecordSeen(answeredAt)
	if passOn {
		f.sendConfirmation(answeredAt)
	}
}

func (f *Follower) sendConfirmation(answeredAt time.Time) {
	plan := f.plan.Load()
	if plan == nil {
		return // hosts that join later poll others
	}
	silentMs := time.Since(answeredAt).Milliseconds()
	notice := control.Notice{Host: f.config.Host, Revision: f.Revision(), SilentMs: &silentMs}
	f.config.Peers.Notify(plan.ConfirmTargets(), control.MethodNotice, notice)
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
	defer f.announcedFetches.Add(-1)
	if f.announcedFetches.Add(1) > maxAnnouncedFetches {
		return
	}
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
