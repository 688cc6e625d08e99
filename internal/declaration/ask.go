package declaration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/revision"
)

// askTimeout bounds the question to another daemon which revision it has and what it
// knows of hosts. Source: a hundred round trips between data centres; a daemon that has
// missed a change has to have asked several others within two seconds.
const askTimeout = 400 * time.Millisecond

// fetch asks the daemon at the address, and reports whether it had a higher revision than
// the one here.
func (f *Follower) fetch(ctx context.Context, address string) bool {
	before := f.Revision()
	return f.Sync(ctx, address) && f.Revision() > before
}

// Sync asks the daemon at the address for its revision and for what it knows of hosts,
// applies what is new here, and reports whether it answered.
func (f *Follower) Sync(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	above := control.RevisionQuery{Revision: f.Revision(), Hosts: f.config.Members.Sum(), Quarantines: f.config.Quarantines.Sum()}
	var held control.RevisionResponse
	if err := f.config.Peers.Call(ctx, address, control.MethodRevision, above, &held); err != nil {
		return false
	}
	f.config.Members.Exchange(ctx, address, held)
	f.recordQuarantines(held)
	f.config.Health.RecordSeen(time.Now().Add(-time.Duration(held.SilentMs) * time.Millisecond))
	if held.Revision.Number > above.Revision {
		f.apply(revision.Revision(held.Revision))
	}
	return true
}

// recordQuarantines records the quarantines that a daemon answers with, if there are others than here.
func (f *Follower) recordQuarantines(held control.RevisionResponse) {
	f.peerAnswered.Store(true)
	if len(held.Quarantines) > 0 {
		f.config.Quarantines.Merge(held.Quarantines)
	}
}

// PeerAnswered reports whether another daemon has answered yet, and so told which quarantines there are.
func (f *Follower) PeerAnswered() bool { return f.peerAnswered.Load() }

// HandleRevision answers another daemon that asks which revision this one has.
func (f *Follower) HandleRevision(_ context.Context, params json.RawMessage) (any, error) {
	var above control.RevisionQuery
	if err := control.Decode(params, &above); err != nil {
		return nil, err
	}
	return f.answer(above), nil
}

// answer returns what a daemon that asks does not know yet.
func (f *Follower) answer(asked control.RevisionQuery) control.RevisionResponse {
	above := asked.Revision
	held := control.RevisionResponse{SilentMs: time.Since(f.config.Health.LastSeen()).Milliseconds()}
	f.config.Members.AddDigest(asked, &held)
	if asked.Quarantines != f.config.Quarantines.Sum() {
		held.Quarantines = f.config.Quarantines.Quarantines()
	}
	current := f.inForce.Load()
	if current == nil {
		return held
	}
	held.Revision.Number = current.Revision.Number
	if current.Revision.Number > above {
		held.Revision = control.Revision(current.Revision)
	}
	return held
}
