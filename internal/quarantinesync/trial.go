package quarantinesync

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/store"
)

// trialTimeout is the timeout for claiming a trial, for which the request waits. A claim takes two store calls.
const trialTimeout = 250 * time.Millisecond

// TrialDue reports whether the trial of the quarantined request is due and not claimed, judging by local state.
func (s *Syncer) TrialDue(id string) bool { return s.view.Load().TrialDue(time.Now(), id) }

// StartTrial claims the trial of a quarantined request and reports whether this daemon may send it. Only the first
// daemon to write its claim to the store may, and only once. If the store is unavailable, none may.
func (s *Syncer) StartTrial(ctx context.Context, id string) bool {
	if !s.TrialDue(id) {
		return false
	}
	record, ok := s.proposeTrial(ctx, id)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	return s.claim(ctx, record)
}

// ReturnTrial gives back a trial that StartTrial has claimed, because the request did not run. Another one is
// due later.
func (s *Syncer) ReturnTrial(id string) { s.send(context.Background(), returnedMessage{id: id}) }

// proposeTrial requests the record that claims the trial for this host.
func (s *Syncer) proposeTrial(ctx context.Context, id string) (quarantine.Record, bool) {
	reply := make(chan taskReply, 1)
	proposed, err := s.request(ctx, trialMessage{id: id, reply: reply}, reply)
	return proposed.record, err == nil && proposed.ok // no trial without a reply
}

// claim writes the record if the store has the request in quarantine and its trial is not claimed. It reports whether
// the claim was written.
func (s *Syncer) claim(ctx context.Context, record quarantine.Record) bool {
	item, err := s.config.Store.Get(ctx, s.recordKey(record))
	if err != nil {
		s.logTrialFailed(record, err)
		return false
	}
	stored, ok := s.decodeItem(item)
	if !ok {
		return false // the quarantine is not in the store yet, so other daemons could not see the claim
	}
	merged := quarantine.Merge(stored, record)
	if stored.TrialClaimed() || stored.Epoch != record.Epoch || !merged.Quarantined() {
		s.send(ctx, mergeMessage{records: []quarantine.Record{stored}})
		return false
	}
	if !merged.TrialClaimed() { // other daemons have given back trials that this one does not know of
		merged = merged.ClaimTrial(time.Now(), s.config.Host)
	}
	put, err := s.newPut(ctx, merged)
	if err != nil {
		s.logTrialFailed(record, err)
		return false
	}
	change := store.Change{Puts: []store.Put{put}, Expect: []store.Expect{{Key: put.Key, Revision: item.Revision}}}
	err = s.commit(ctx, change)
	if errors.Is(err, store.ErrConflict) {
		return false // another daemon wrote the record first
	}
	if err != nil {
		s.logTrialFailed(record, err)
		return false
	}
	s.send(ctx, mergeMessage{records: []quarantine.Record{merged}})
	s.metrics.trials.Inc(1)
	event.Log(s.config.Logger, event.QuarantineTrial, "fingerprint", record.ID, "service", record.Service, "path", record.Path)
	return true
}

// logTrialFailed records that a store call of a claim failed. If the claim was written nevertheless, no daemon sends
// the request, since this one cannot know that it may.
func (s *Syncer) logTrialFailed(record quarantine.Record, err error) {
	s.config.OnError(err)
	event.Log(s.config.Logger, event.QuarantineUntried, "fingerprint", record.ID, "service", record.Service, "path", record.Path, "error", err)
}
