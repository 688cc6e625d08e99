package quarantinesync

import (
	"context"

	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/result"
)

// Lift clears a request on behalf of an operator, and returns once the store has the change. If only the write to
// the store fails, Lift returns the cleared record with the error; the write is retried in the background.
func (s *Syncer) Lift(ctx context.Context, id string) (quarantine.Record, error) {
	reply := make(chan taskReply, 1)
	lifted, err := s.request(ctx, liftMessage{id: id, reply: reply}, reply)
	if err != nil {
		return quarantine.Record{}, err
	}
	if !lifted.ok {
		return quarantine.Record{}, result.New(result.NotDeclared).WithDetail("nothing is held against a request %q", id)
	}
	if _, err := s.writeMerged(ctx, lifted.record); err != nil {
		return lifted.record, result.Wrap(result.ChangeUnknown, err).WithDetail("the quarantine is lifted on this daemon; the write to the platform failed and is retried")
	}
	return lifted.record, nil
}
