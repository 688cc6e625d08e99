package quarantinesync

import (
	"context"

	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/result"
)

// Lift ends a quarantine for an operator, and returns once the store has it.
func (s *Syncer) Lift(ctx context.Context, id string) (quarantine.Record, error) {
	reply := make(chan answer, 1)
	lifted, err := s.ask(ctx, liftMessage{id: id, reply: reply}, reply)
	if err != nil {
		return quarantine.Record{}, err
	}
	if !lifted.ok {
		return quarantine.Record{}, result.New(result.NotDeclared).WithDetail("nothing is held against a request %q", id)
	}
	if _, err := s.writeMerged(ctx, lifted.record); err != nil {
		return lifted.record, result.Wrap(result.ChangeUnknown, err).WithDetail("it is lifted here; the platform did not take it, which is tried again")
	}
	return lifted.record, nil
}
