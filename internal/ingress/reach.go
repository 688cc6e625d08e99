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
	// reachEvery is the pause between two looks whether a host can be reached
	// again. Source: a daemon that was killed is back in a second.
	reachEvery = 200 * time.Millisecond
	// reachWithin is how long the answer may take. Source: twenty round trips
	// between data centres; a lost packet is sent again only after 200 ms, and a
	// path that loses many is no path for requests.
	reachWithin = 150 * time.Millisecond
	// reachProofs is how many answers in a row bring the host back. Source: of a
	// path that loses three packets in ten, three pass once in eight times.
	reachProofs = 3
	// reachFor bounds how long one look goes on; a host that is longer away is
	// met again by a request.
	reachFor = 30 * time.Second
)

// reach knows which hosts cannot be reached from here, and asks their daemons
// until they can. No request waits for a host that is known to be away.
type reach struct {
	in *Ingress

	mu   sync.Mutex
	away map[string]bool
}

// recordLost records that a request could not reach the host. Its targets are passed
// over until the host has answered.
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
	event.Log(x.in.config.Logger, event.HostUnreachable, "host", host.Name)
	x.pause(host.Name, time.Now().Add(reachFor))
	go x.awaitAnswers(host)
}

// awaitAnswers asks the host's daemon until it answers in good time.
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

// pause passes the host's targets over until then.
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

// Unreachable reports whether requests could not reach the host and it has not answered
// since.
func (in *Ingress) Unreachable(host string) bool {
	in.reach.mu.Lock()
	defer in.reach.mu.Unlock()
	return in.reach.away[host]
}
