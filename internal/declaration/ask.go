package declaration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/revision"
)

// syncTimeout bounds one exchange with another daemon. It is short enough that a daemon that
// missed a change can query several others within two seconds.
const syncTimeout = 400 * time.Millisecond

// maxSilence is the age from which an answer of the platform counts as unknown.
const maxSilence = time.Hour

// fetch polls the daemon and reports whether that raised the revision in force.
func (f *Follower) fetch(ctx context.Context, from peer) bool {
	before := f.Revision()
	return f.poll(ctx, from) && f.Revision() > before
}

// Sync polls the daemon at the address, wherever it is, and reports whether it answered.
func (f *Follower) Sync(ctx context.Context, address string) bool {
	return f.poll(ctx, peer{address: address})
}

// poll requests the revision and the quarantines of the daemon and exchanges host records with it if
// that is due, applies what is newer here, and reports whether the daemon answered.
func (f *Follower) poll(ctx context.Context, from peer) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	query := control.RevisionQuery{
		Revision: f.Revision(), Hosts: f.config.Members.SumIfDue(from.dataCentre),
		Quarantines: f.config.Quarantines.Sum(), Evacuations: f.config.Evacuations.Sum(),
	}
	askedAt := time.Now()
	var response control.RevisionResponse
	if err := f.config.Peers.Call(ctx, from.address, control.MethodRevision, query, &response); err != nil {
		return false
	}
	f.config.Members.Exchange(ctx, from.address, response)
	f.recordQuarantines(response)
	if response.Evacuations != nil {
		f.config.Evacuations.Merge(*response.Evacuations)
	}
	if response.Revision.Number > query.Revision {
		f.apply(revision.Revision(response.Revision))
	}
	f.recordSilence(askedAt, response.SilentMs)
	return true
}

// recordSilence records what another daemon said when it was asked: the platform answered it so many milliseconds
// before.
func (f *Follower) recordSilence(askedAt time.Time, ms int64) {
	if answeredAt, ok := answeredBefore(askedAt, ms); ok {
		f.config.Health.RecordSeen(answeredAt)
	}
}

// answeredBefore returns when the platform answered another daemon that names a silence of so many milliseconds. A daemon that
// knows of no answer names centuries, and one in the future cannot be true: this daemon would no longer watch the platform.
func answeredBefore(now time.Time, ms int64) (time.Time, bool) {
	if ms < 0 || ms >= maxSilence.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(ms) * time.Millisecond), true
}

// recordQuarantines merges the quarantines of another daemon's answer. The answer holds none if
// both daemons have the same.
func (f *Follower) recordQuarantines(response control.RevisionResponse) {
	f.peerAnswered.Store(true)
	if len(response.Quarantines) > 0 {
		f.config.Quarantines.Merge(response.Quarantines)
	}
}

// PeerAnswered reports whether another daemon has answered yet, so that its quarantines are known
// here.
func (f *Follower) PeerAnswered() bool { return f.peerAnswered.Load() }

// HandleRevision handles another daemon's request for the revision of this one.
func (f *Follower) HandleRevision(_ context.Context, params json.RawMessage) (any, error) {
	var query control.RevisionQuery
	if err := control.Decode(params, &query); err != nil {
		return nil, err
	}
	return f.answer(query), nil
}

// answer returns what the requesting daemon does not have yet.
func (f *Follower) answer(query control.RevisionQuery) control.RevisionResponse {
	above := query.Revision
	response := control.RevisionResponse{SilentMs: time.Since(f.config.Health.LastSeen()).Milliseconds()}
	f.config.Members.AddDigest(query, &response)
	if query.Quarantines != f.config.Quarantines.Sum() {
		response.Quarantines = f.config.Quarantines.Quarantines()
	}
	if query.Evacuations != f.config.Evacuations.Sum() {
		view := f.config.Evacuations.View()
		response.Evacuations = &view
	}
	current := f.inForce.Load()
	if current == nil {
		return response
	}
	response.Revision.Number = current.Revision.Number
	if current.Revision.Number > above {
		response.Revision = control.Revision(current.Revision)
	}
	return response
}
