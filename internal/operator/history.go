package operator

import (
	"context"
	"sync"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/revision"
)

// maxConcurrentCalls limits concurrent requests for daemons' revisions, each of which needs a connection.
const maxConcurrentCalls = 64

// GetHistory returns the most recent changes.
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

// GetRevision returns the text of one of the most recent revisions.
func (s *server) GetRevision(ctx context.Context, params operatorapi.GetRevisionParams) (*operatorapi.Declaration, error) {
	found, err := s.config.Ledger.Read(ctx, params.Revision)
	if err != nil {
		return nil, err
	}
	return describeRevision(found.YAML, found.Accepted), nil
}

// GetProgress queries every daemon for its revision in force and returns the counts by data centre.
func (s *server) GetProgress(ctx context.Context, params operatorapi.GetProgressParams) ([]operatorapi.Progress, error) {
	inForce, err := s.inForce()
	if err != nil {
		return nil, err
	}
	hosts := inForce.Index.Declaration.Hosts
	revisions := s.fetchRevisions(ctx, hosts, params.Revision)
	var all []operatorapi.Progress
	positions := make(map[string]int)
	for i, host := range hosts {
		position, ok := positions[host.DataCentre]
		if !ok {
			position = len(all)
			positions[host.DataCentre] = position
			all = append(all, operatorapi.Progress{DataCentre: host.DataCentre})
		}
		progress := &all[position]
		progress.Daemons++
		switch {
		case revisions[i] >= params.Revision:
			progress.InForce++
		case revisions[i] == unresponsive:
			progress.Silent++
		}
	}
	return all, nil
}

// unresponsive is used as the revision of a daemon that did not respond.
const unresponsive = -1

// fetchRevisions returns the revision of each host's daemon, in the order of hosts.
func (s *server) fetchRevisions(ctx context.Context, hosts []fleet.Host, wanted int64) []int64 {
	revisions := make([]int64, len(hosts))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, host := range hosts {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			revisions[i] = s.fetchRevision(ctx, host, wanted)
		})
	}
	wg.Wait()
	return revisions
}

// fetchRevision returns the revision of the host's daemon. It passes the wanted
// revision, because the response contains the text only of a newer one.
func (s *server) fetchRevision(ctx context.Context, host fleet.Host, wanted int64) int64 {
	var response struct {
		Revision revision.Revision `json:"revision"`
	}
	if err := s.call(ctx, host, control.MethodRevision, control.RevisionQuery{Revision: wanted}, &response); err != nil {
		return unresponsive
	}
	return response.Revision.Number
}
