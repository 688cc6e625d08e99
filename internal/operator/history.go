package operator

import (
	"context"
	"sync"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/revision"
)

// askedAtOnce bounds the daemons that are asked for their revision at once. Not measured: each takes a
// connection, and 4,600 are asked in 72 rounds.
const askedAtOnce = 64

// GetHistory answers with the last changes.
func (s *server) GetHistory(ctx context.Context) ([]operatorapi.Accepted, error) {
	changes, err := s.config.Ledger.History(ctx)
	if err != nil {
		return nil, err
	}
	described := make([]operatorapi.Accepted, 0, len(changes))
	for _, change := range changes {
		described = append(described, operatorapi.Accepted{
			Revision: change.Revision,
			Author:   change.Author,
			Reason:   change.Reason,
			ChangeID: change.ID,
			At:       change.At,
		})
	}
	return described, nil
}

// GetRevision answers with the text of one of the last revisions.
func (s *server) GetRevision(ctx context.Context, params operatorapi.GetRevisionParams) (*operatorapi.Declaration, error) {
	found, err := s.config.Ledger.Read(ctx, params.Revision)
	if err != nil {
		return nil, err
	}
	return describeRevision(found.YAML, found.Accepted), nil
}

// GetProgress asks every daemon which revision it has in force.
func (s *server) GetProgress(ctx context.Context, params operatorapi.GetProgressParams) ([]operatorapi.Progress, error) {
	inForce, err := s.inForce()
	if err != nil {
		return nil, err
	}
	hosts := inForce.Index.Declaration.Hosts
	revisions := s.askRevisions(ctx, hosts, params.Revision)
	var all []operatorapi.Progress
	places := make(map[string]int)
	for i, host := range hosts {
		place, ok := places[host.DataCentre]
		if !ok {
			place = len(all)
			places[host.DataCentre] = place
			all = append(all, operatorapi.Progress{DataCentre: host.DataCentre})
		}
		progress := &all[place]
		progress.Daemons++
		switch {
		case revisions[i] >= params.Revision:
			progress.InForce++
		case revisions[i] == silent:
			progress.Silent++
		}
	}
	return all, nil
}

// silent stands for the revision of a daemon that did not answer.
const silent = -1

// askRevisions returns the revision of each host's daemon, in the hosts' order.
func (s *server) askRevisions(ctx context.Context, hosts []fleet.Host, wanted int64) []int64 {
	revisions := make([]int64, len(hosts))
	room := make(chan struct{}, askedAtOnce)
	var wg sync.WaitGroup
	for i, host := range hosts {
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			revisions[i] = s.askRevision(ctx, host, wanted)
		})
	}
	wg.Wait()
	return revisions
}

// askRevision asks without the text, which comes only for what is above the
// revision asked.
func (s *server) askRevision(ctx context.Context, host fleet.Host, wanted int64) int64 {
	var held struct {
		Revision revision.Revision `json:"revision"`
	}
	if err := s.ask(ctx, host, control.MethodRevision, control.RevisionQuery{Revision: wanted}, &held); err != nil {
		return silent
	}
	return held.Revision.Number
}
