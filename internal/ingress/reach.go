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
	// pingInterval is the pause between pings of an unreachable host. A daemon that was killed is
	// back within about a second.
	pingInterval = 200 * time.Millisecond
	// pingTimeout is the timeout of a ping. A lost packet is retransmitted only after 200 ms, and a
	// path that loses many packets is unsuitable for requests.
	pingTimeout = 150 * time.Millisecond
	// requiredPings is how many consecutive answers make a host reachable again. A single answer
	// may get through on a path that loses many packets.
	requiredPings = 3
	// maxPingPeriod limits how long a host is pinged. A host that is still unreachable then is
	// detected again by the next request to it.
	maxPingPeriod = 30 * time.Second
)

// hostMonitor tracks the hosts that are unreachable from this daemon, and pings their daemons until
// they answer. No request waits for a host that is known to be unreachable.
type hostMonitor struct {
	in *Ingress

	mu          sync.Mutex
	unreachable map[string]bool
}

// recordUnreachable records that a request could not reach the host, and skips its targets until
// the host has answered.
func (m *hostMonitor) recordUnreachable(host fleet.Host) {
	if host.Name == m.in.config.Host {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable[host.Name] {
		return
	}
	m.unreachable[host.Name] = true
	event.Log(m.in.config.Logger, event.HostUnreachable, "host", host.Name)
	m.pauseTargets(host.Name, time.Now().Add(maxPingPeriod))
	go m.pingUntilReachable(host)
}

// pingUntilReachable pings the host's daemon until it answers reliably or the ping period ends.
func (m *hostMonitor) pingUntilReachable(host fleet.Host) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(m.in.baseCtx, maxPingPeriod)
	defer cancel()
	consecutive, answered := 0, false
	for consecutive < requiredPings && wait.For(ctx, pingInterval) {
		if !m.ping(ctx, host) {
			consecutive = 0
			continue
		}
		consecutive++
		answered = true
	}
	if !answered && m.in.baseCtx.Err() == nil {
		m.in.config.OnHostUnresponsive(host)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.unreachable, host.Name)
	m.pauseTargets(host.Name, time.Now())
	event.Log(m.in.config.Logger, event.HostBack, "host", host.Name, "away_ms", time.Since(began).Milliseconds())
}

func (m *hostMonitor) ping(ctx context.Context, host fleet.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return m.in.config.Ping(ctx, host) == nil
}

// pauseTargets skips the host's targets until the given time.
func (m *hostMonitor) pauseTargets(host string, until time.Time) {
	current := m.in.state.Load()
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
	in.hostMonitor.mu.Lock()
	defer in.hostMonitor.mu.Unlock()
	return in.hostMonitor.unreachable[host]
}
