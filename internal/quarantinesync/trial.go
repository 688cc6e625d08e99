package quarantinesync

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/store"
)

// trialWithin bounds how long a request in quarantine waits for its trial to be granted. Source:
// two calls of the store of a few milliseconds each.
const trialWithin = 250 * time.Millisecond

// TrialDue reports whether the request in quarantine may be tried once more, as far as is known here.
func (s *Syncer) TrialDue(id string) bool { return s.view.Load().TrialDue(time.Now(), id) }

// StartTrial reports whether this daemon may send the request in quarantine once more. Of all daemons one may, once:
// the first to write so into the store. Without the store none may.
func (s *Syncer) StartTrial(ctx context.Context, id string) bool {
	if !s.TrialDue(id) {
		return false
	}
	record, ok := s.proposal(ctx, id)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialWithin)
	defer cancel()
	return s.claim(ctx, record)
}

// proposal asks the task for the record by which this host may send the request.
func (s *Syncer) proposal(ctx context.Context, id string) (quarantine.Record, bool) {
	reply := make(chan answer, 1)
	proposed, err := s.ask(ctx, trialMessage{id: id, reply: reply}, reply)
	return proposed.record, err == nil && proposed.ok // without an answer there is no trial
}

// claim writes the record if the store has the request in quarantine and nobody has tried it.
func (s *Syncer) claim(ctx context.Context, record quarantine.Record) bool {
	item, err := s.config.Store.Get(ctx, s.keyOf(record))
	if err != nil {
		s.logUntried(record, err)
		return false
	}
	stored, ok := s.decodeFound(item)
	if !ok {
		return false // it is not there yet, so that others cannot know who tries it
	}
	merged := quarantine.Merge(stored, record)
	if stored.TrialHost != "" || stored.Epoch != record.Epoch || !merged.Quarantined() {
		s.send(ctx, mergeMessage{records: []quarantine.Record{stored}})
		return false
	}
	put, err := s.putOf(ctx, merged)
	if err != nil {
		s.logUntried(record, err)
		return false
	}
	change := store.Change{Puts: []store.Put{put}, Expect: []store.Expect{{Key: put.Key, Revision: item.Revision}}}
	err = s.commit(ctx, change)
	if errors.Is(err, store.ErrConflict) {
		return false // another was first
	}
	if err != nil {
		s.logUntried(record, err)
		return false
	}
	s.send(ctx, mergeMessage{records: []quarantine.Record{merged}})
	s.metrics.trials.Inc(1)
	event.Log(s.config.Logger, event.QuarantineTrial, "fingerprint", record.ID, "service", record.Service, "path", record.Path)
	return true
}

// logUntried records that the store did not answer a claim. If the claim was written all the same, nobody tries the
// request: this daemon does not know that it may.
func (s *Syncer) logUntried(record quarantine.Record, err error) {
	s.config.OnError(err)
	event.Log(s.config.Logger, event.QuarantineUntried, "fingerprint", record.ID, "service", record.Service, "path", record.Path, "error", err)
}
