package sidecar

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/floor"
)

// Peer makes the calls that maintain the floor to the sidecars of the other backend servers of a
// floor group.
type Peer struct {
	// RequestLease requests a lease.
	RequestLease func(ctx context.Context, other *fleet.Placement, r floor.Request) (LeaseResponse, error)
	// ClearSuspicion notifies the ingresses on the hosts that a backend server of this host is no
	// longer suspected.
	ClearSuspicion func(hosts []string, backendServer string)
	// Release returns a lease.
	Release func(ctx context.Context, other *fleet.Placement, r floor.Release) error
}

// LeaseResponse is the answer to a lease request.
type LeaseResponse struct {
	// Refusal is the reason for a refusal; floor.Granted means that the lease was granted.
	Refusal floor.Refusal `json:"refusal"`
	// Summary is the state of the backend server that answers.
	Summary detect.Summary `json:"standing"`
}

// leaseTimeout bounds one lease call. It is less than floor.RenewInterval, so that a call ends
// before the next one is made.
const leaseTimeout = 400 * time.Millisecond

// busyFor is how long after it refused a request for want of slots a backend server counts as busy.
const busyFor = time.Second

// ejection is the state of the lease requests to the other backend servers of the floor group, first
// to be ejected and then to stay ejected.
type ejection struct {
	// inProgress reports whether an attempt to be ejected is in progress; notBefore is when the
	// next may begin.
	inProgress bool
	notBefore  time.Time
	// pending holds the numbers of the lease requests that have not been answered.
	pending map[uint64]bool
	// summaries holds the states of the backend servers that have answered, by name.
	summaries map[string]detect.Summary
	// requestedAt is when leases were last requested.
	requestedAt time.Time
	// requestAll is set after a lease was refused, so that the next renewal goes to all backend
	// servers of the group.
	requestAll bool
	// othersBusy is set if one of the last lease requests was refused with floor.RefusedBusy.
	othersBusy bool
	// floorHeldReason is why the floor keeps an unhealthy backend server in service; empty if it
	// does not.
	floorHeldReason string
}

func newEjection() ejection {
	return ejection{pending: make(map[uint64]bool), summaries: make(map[string]detect.Summary)}
}

// requestLeases requests leases from the given backend servers of the group.
func (t *task) requestLeases(now time.Time, others []*fleet.Placement) {
	t.ejection.requestedAt = now
	t.ejection.othersBusy = false
	clear(t.ejection.pending)
	slow := t.subject.Cause(now) == detect.CauseSlow
	for _, other := range others {
		request := t.ledger.NewRequest(other.BackendServer.Name)
		request.Slow = slow
		request.SuspectedFor = now.Sub(t.subject.SuspectedSince()).Milliseconds()
		t.ejection.pending[request.Number] = true
		go t.requestLease(other, request, now)
	}
}

// requestLease requests one lease and sends the answer to the task. It runs in its own goroutine.
func (t *task) requestLease(other *fleet.Placement, request floor.Request, requestedAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	lease, err := t.config.Peer.RequestLease(ctx, other, request)
	if err != nil {
		lease = LeaseResponse{Refusal: floor.RefusedUnable}
	}
	t.server.send(leaseAnswerMessage{
		number:      request.Number,
		from:        other.BackendServer.Name,
		requestedAt: requestedAt,
		lease:       lease,
	})
}

// recordLease records the answer to a lease request and ejects the backend server once it holds
// enough leases.
func (t *task) recordLease(now time.Time, m leaseAnswerMessage) {
	delete(t.ejection.pending, m.number)
	t.ejection.summaries[m.from] = m.lease.Summary
	if m.lease.Refusal == floor.Granted {
		t.ledger.RecordGrant(m.number, m.from, m.requestedAt)
	} else {
		t.recordRefusal(now, m)
	}
	if t.ejection.inProgress {
		t.ejectIfAllowed(now)
		return
	}
	t.trimLeases(now)
}

// recordRefusal records the refusal of a lease. A lease that was withdrawn is replaced at the next tick.
func (t *task) recordRefusal(now time.Time, m leaseAnswerMessage) {
	t.ejection.requestAll = true
	t.ejection.othersBusy = t.ejection.othersBusy || m.lease.Refusal == floor.RefusedBusy
	if t.ledger.RecordRefusal(now, m.number, m.from, m.lease.Refusal) {
		t.ejection.requestedAt = time.Time{}
	}
}

// trimLeases releases the leases beyond what the floor requires, those of suspected backend servers
// first.
func (t *task) trimLeases(now time.Time) {
	healthy := func(name string) bool { return !t.ejection.summaries[name].Suspect }
	t.releaseLeases(t.ledger.ReleaseSurplus(now, t.declared.floor, healthy))
}

// releaseLeases returns the leases to the backend servers that granted them.
func (t *task) releaseLeases(releases map[string]floor.Release) {
	for _, other := range t.declared.others {
		if release, ok := releases[other.BackendServer.Name]; ok {
			go t.releaseLease(other, release)
		}
	}
}

// releaseLease returns one lease. It runs in its own goroutine.
func (t *task) releaseLease(other *fleet.Placement, release floor.Release) {
	ctx, cancel := context.WithTimeout(context.Background(), leaseTimeout)
	defer cancel()
	_ = t.config.Peer.Release(ctx, other, release) // an unreleased lease expires
}

// answerLeaseRequest answers a lease request of another backend server.
func (t *task) answerLeaseRequest(now time.Time, r floor.Request) LeaseResponse {
	t.isEjected(now)
	refusesConnections := t.subject.Verdict(now).Cause == detect.CauseRefuses
	rampingUp := t.subject.TrafficShare(now) < 1
	t.ledger.SetUnable(t.isDraining(now) || t.declared.evacuated || refusesConnections || rampingUp)
	t.ledger.SetBusy(now.Sub(t.refusedAt) < busyFor)
	since := now.Add(-time.Duration(r.SuspectedFor) * time.Millisecond)
	return LeaseResponse{Refusal: t.ledger.Answer(now, r), Summary: t.subject.Summary(since)}
}

// GrantLease answers a lease request to a backend server of this host.
func (s *Sidecar) GrantLease(name string, r floor.Request) (LeaseResponse, error) {
	server, err := s.server(name)
	if err != nil {
		return LeaseResponse{}, err
	}
	reply := make(chan LeaseResponse, 1)
	if !server.send(leaseRequestMessage{request: r, reply: reply}) {
		return LeaseResponse{Refusal: floor.RefusedUnable}, nil
	}
	select {
	case lease := <-reply:
		return lease, nil
	case <-server.ended:
		return LeaseResponse{Refusal: floor.RefusedUnable}, nil
	}
}

// Release takes back a lease that a backend server of this host has granted.
func (s *Sidecar) Release(name string, r floor.Release) error {
	server, err := s.server(name)
	if err != nil {
		return err
	}
	server.send(leaseReleaseMessage{release: r})
	return nil
}
