package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// reachEvery is the pause between pings of an unreachable host.
	reachEvery = 200 * time.Millisecond
	// reachWithin is the timeout of a ping. It is shorter than a retransmission, since a path that
	// loses many packets is unsuitable for requests.
	reachWithin = 150 * time.Millisecond
	// reachProofs is how many consecutive answers make a host reachable again. A single answer may
	// get through on a path that loses many packets.
	reachProofs = 3
	// reachFor limits how long a host is pinged. A host that is still unreachable then is detected
	// again by the next request to it.
	reachFor = 30 * time.Second
)

// reach tracks the hosts that are unreachable from this daemon, and pings their daemons until they
// answer. No request waits for a host that is known to be unreachable.
type reach struct {
	in *Ingress

	mu   sync.Mutex
	away map[string]bool
}

// recordLost records that a request could not reach the host, and skips its targets until the host
// has answered.
func (x *reach) recordLost(host fleet.Host) {
	if host.Name == x.in.config.Host {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.away[host.Name] {
		return
	}
	x.away[host.Name] = true
	event.Log(x.in.config.Logger, event.HostAway, "host", host.Name)
	x.pause(host.Name, time.Now().Add(reachFor))
	go x.awaitAnswers(host)
}

// awaitAnswers pings the host's daemon until it answers reliably or the ping period ends.
func (x *reach) awaitAnswers(host fleet.Host) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(x.in.ended, reachFor)
	defer cancel()
	proofs, ever := 0, false
	for proofs < reachProofs && wait.For(ctx, reachEvery) {
		if !x.answers(ctx, host) {
			proofs = 0
			continue
		}
		proofs++
		ever = true
	}
	if !ever && x.in.ended.Err() == nil {
		x.in.config.OnHostUnresponsive(host)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.away, host.Name)
	x.pause(host.Name, time.Now())
	event.Log(x.in.config.Logger, event.HostBack, "host", host.Name, "away_ms", time.Since(began).Milliseconds())
}

func (x *reach) answers(ctx context.Context, host fleet.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, reachWithin)
	defer cancel()
	return x.in.config.Ping(ctx, host) == nil
}

// pause skips the host's targets until the given time.
func (x *reach) pause(host string, until time.Time) {
	current := x.in.state.Load()
	if current == nil {
		return
	}
	for _, s := range current.services {
		for _, target := range s.pool.Targets() {
			if target.Placement().Host.Name == host {
				s.pool.Pause(target, until)
			}
		}
	}
}

// Unreachable reports whether requests could not reach the host and it has not answered since.
func (in *Ingress) Unreachable(host string) bool {
	in.reach.mu.Lock()
	defer in.reach.mu.Unlock()
	return in.reach.away[host]
}
