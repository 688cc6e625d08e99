package sidecar

import (
	"context"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/floor"
)

// Peer carries the calls that keep the floor to the sidecar of another backend
// server of the service.
type Peer struct {
	// RequestLease asks for a lease.
	RequestLease func(ctx context.Context, other fleet.Placement, r floor.Request) (LeaseAnswer, error)
	// ClearSuspicion tells ingresses that a backend server of this host is no longer
	// suspected.
	ClearSuspicion func(hosts []string, backendServer string)
	// Release gives a lease back.
	Release func(ctx context.Context, other fleet.Placement, r floor.Release) error
}

// LeaseAnswer answers a request for a lease.
type LeaseAnswer struct {
	// Refusal says why not; floor.Granted means that it was given.
	Refusal floor.Refusal `json:"refusal"`
	// Summary is how the one asked does itself.
	Summary detect.Summary `json:"standing"`
}

// askTimeout bounds one call for a lease. Not measured: less than floor.RenewEvery, so that
// a call ends before the next one is made.
const askTimeout = 400 * time.Millisecond

// ejecting is the state of asking the other backend servers of the service for leases, first to
// be ejected and then to stay so.
type ejecting struct {
	// open says that a try to be ejected is under way; notBefore is when the next may begin.
	open      bool
	notBefore time.Time
	// pending are the numbers of the requests for leases that have not been answered.
	pending map[uint64]bool
	// summaries are how those who answered do themselves, by their names.
	summaries map[string]detect.Summary
	// askedAt is when leases were last asked for.
	askedAt time.Time
	// askAll says that a holder's lease was refused, so that the next renewal asks all.
	askAll bool
	// keptBy says why the floor keeps a sick backend server in service; empty if it does not.
	keptBy string
}

func newEjecting() ejecting {
	return ejecting{pending: make(map[uint64]bool), summaries: make(map[string]detect.Summary)}
}

// askOthers asks backend servers of the service for leases.
func (t *task) askOthers(now time.Time, others []fleet.Placement) {
	t.ejecting.askedAt = now
	clear(t.ejecting.pending)
	for _, other := range others {
		request := t.ledger.NewRequest(other.BackendServer.Name)
		request.SuspectedFor = now.Sub(t.subject.SuspectedSince()).Milliseconds()
		t.ejecting.pending[request.Number] = true
		go t.askOne(other, request, now)
	}
}

// askOne runs in a goroutine of its own and sends the task the answer.
func (t *task) askOne(other fleet.Placement, request floor.Request, asked time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	lease, err := t.config.Peer.RequestLease(ctx, other, request)
	if err != nil {
		lease = LeaseAnswer{Refusal: floor.RefusedUnable}
	}
	t.server.send(leaseMessage{
		number: request.Number,
		from:   other.BackendServer.Name,
		asked:  asked,
		lease:  lease,
	})
}

// recordLease records the answer to a request for a lease and ejects the backend server once the
// leases are enough.
func (t *task) recordLease(now time.Time, m leaseMessage) {
	delete(t.ejecting.pending, m.number)
	t.ejecting.summaries[m.from] = m.lease.Summary
	if m.lease.Refusal == floor.Granted {
		t.ledger.RecordGrant(m.number, m.from, m.asked)
	} else {
		t.ledger.RecordRefusal(m.number, m.from)
		t.ejecting.askAll = true
	}
	if t.ejecting.open {
		t.ejectIfAllowed(now)
		return
	}
	t.trimLeases(now)
}

// trimLeases gives back the leases beyond what the floor needs, those of suspects
// first.
func (t *task) trimLeases(now time.Time) {
	healthy := func(name string) bool { return !t.ejecting.summaries[name].Suspect }
	t.giveBack(t.ledger.ReleaseSurplus(now, t.declared.Service.Floor, healthy))
}

// giveBack gives leases back to those who gave them.
func (t *task) giveBack(releases map[string]floor.Release) {
	for _, other := range t.declared.others {
		if release, ok := releases[other.BackendServer.Name]; ok {
			go t.releaseOne(other, release)
		}
	}
}

// releaseOne runs in a goroutine of its own.
func (t *task) releaseOne(other fleet.Placement, release floor.Release) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	_ = t.config.Peer.Release(ctx, other, release) // a lease that is not released runs out by itself
}

// answerRequest answers another backend server that asks for a lease.
func (t *task) answerRequest(now time.Time, r floor.Request) LeaseAnswer {
	t.isEjected(now)
	dead := t.subject.Verdict(now).Cause == detect.CauseRefuses
	cold := t.subject.TrafficShare(now) < 1
	t.ledger.SetUnable(t.isDraining(now) || dead || cold)
	since := now.Add(-time.Duration(r.SuspectedFor) * time.Millisecond)
	return LeaseAnswer{Refusal: t.ledger.Answer(now, r), Summary: t.subject.Summary(since)}
}

// GrantLease answers a request for a lease to a backend server of this host.
func (s *Sidecar) GrantLease(name string, r floor.Request) (LeaseAnswer, error) {
	server, err := s.server(name)
	if err != nil {
		return LeaseAnswer{}, err
	}
	reply := make(chan LeaseAnswer, 1)
	if !server.send(askedMessage{request: r, reply: reply}) {
		return LeaseAnswer{Refusal: floor.RefusedUnable}, nil
	}
	select {
	case lease := <-reply:
		return lease, nil
	case <-server.ended:
		return LeaseAnswer{Refusal: floor.RefusedUnable}, nil
	}
}

// Release takes a lease back that a backend server of this host gave.
func (s *Sidecar) Release(name string, r floor.Release) error {
	server, err := s.server(name)
	if err != nil {
		return err
	}
	server.send(releasedMessage{release: r})
	return nil
}
