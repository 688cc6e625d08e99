// Package gossip decides how a revision of the declaration and updates of hosts
// reach every daemon: which daemons watch the platform, which others a daemon
// notifies, and which one it polls for updates that it missed.
//
// A Plan is read-only and rebuilt with each declaration. It has no clock, goroutine
// or socket; it selects hosts, and its owner communicates with them.
//
// # Usage
//
//	plan := gossip.NewPlan(gossip.Config{Host: "csepel-1", DataCentre: "csepel", Random: rand.Uint64}, hosts)
//	if plan.Watches(freshAt, now) { ... }                   // watch the platform
//	for _, host := range plan.NotifyTargets() { ... }       // notify of a new revision
//	for _, host := range plan.ConfirmTargets() { ... }      // notify of an answer of the platform
//	for _, host := range plan.UpdateTargets() { ... }       // send updates of hosts
//	for _, host := range plan.RemoteUpdateTargets() { ... } // send updates of the local host
//	host, ok := plan.PollTarget()                           // poll about every PollInterval
//
// # Rules
//
//   - In each data centre, the WatchersPerDataCentre daemons whose names have the
//     highest hashes watch the platform. Each daemon derives them from the
//     declaration alone.
//   - A daemon that receives a new revision notifies a few others at random, in its
//     own data centre and in others. Each of them fetches it and notifies a few in
//     turn, so that the number of steps grows with the logarithm of the number of
//     daemons, and notifications bypass broken links.
//   - Updates of hosts are sent to a few daemons of the same data centre. A host's
//     updates of itself also go to one host in each of a few other data centres,
//     which passes them on there.
//   - Every PollInterval, a daemon polls one of a few others for its revision, to
//     obtain what was lost. These are drawn at random with each plan. The answer
//     includes the time since the other daemon knew the platform to answer.
//   - In each data centre, a few daemons, the relays, regularly compare all hosts with
//     other data centres. What they learn spreads within theirs.
//   - A watcher notifies a few daemons of its data centre of each answer of the
//     platform, even if nothing has changed. Each passes it on if it is later than
//     the last known one by at least ConfirmStep.
//   - A daemon that has not learned of an answer of the platform for StaleAfter,
//     plus a short random time, watches the platform itself, since the watchers
//     may be gone or cut off.
package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	// WatchersPerDataCentre is the number of daemons per data centre that watch the platform.
	WatchersPerDataCentre = 2
	// RelaysPerDataCentre is the number of daemons per data centre that compare all hosts with other
	// data centres. If every daemon did, each would receive the records of all other data centres from
	// there when a fleet starts.
	RelaysPerDataCentre = 4
	// LocalFanout is how many daemons of its own data centre a daemon notifies of a revision.
	LocalFanout = 4
	// RemoteFanout is how many daemons of other data centres a daemon notifies of a revision.
	RemoteFanout = 2
	// PollInterval is how often a daemon polls another one for its revision.
	PollInterval = 500 * time.Millisecond
	// ConfirmFanout is how many daemons of its own data centre a daemon notifies of an answer of the platform.
	ConfirmFanout = 3
	// ConfirmStep is how much later than the last known one an answer of the platform must be to be passed on.
	ConfirmStep = 400 * time.Millisecond
	// StaleAfter is how long after the last known answer of the platform, of which watchers have one a second, a daemon
	// relies on them. They may all be lost together, and a change must still be in force within two seconds.
	StaleAfter = 1300 * time.Millisecond
	// staleJitter is the maximum random time that is added to StaleAfter, so that the first daemons that watch
	// the platform instead spare the others.
	staleJitter = 300 * time.Millisecond
	// updateFanout is how many daemons of its own data centre a daemon sends updates of
	// hosts. Each record reaches a daemon about as many times; polls make up for losses.
	updateFanout = 2
	// maxRemoteTargets bounds how many other data centres a host sends its own updates.
	// Polls supply the others.
	maxRemoteTargets = 8
	// maxNeighbours is how many daemons a daemon polls in turn. They are drawn again with each plan. A
	// daemon keeps a connection to each; polling all would take as many connections as there are hosts.
	maxNeighbours = 10
	// maxRemoteNeighbours is how many of them are in other data centres, unless the daemon is a relay.
	maxRemoteNeighbours = 2
	// remotePollOneIn makes one in so many polls go to another data centre, and relayPollOneIn those of
	// a relay.
	remotePollOneIn = 8
	relayPollOneIn  = 2
)

// Config holds the settings of a Plan.
type Config struct {
	// Host and DataCentre name the local daemon.
	Host, DataCentre string
	// Random returns 64 random bits.
	Random func() uint64
}

// Plan selects the hosts with which one daemon exchanges revisions and updates of hosts.
type Plan struct {
	config Config
	hosts  []fleet.Host
	local  []int // indices of the other hosts of the data centre
	remote []int // indices of the hosts of other data centres
	// neighbours are the hosts that are polled, a few of the data centre and of others.
	localNeighbours, remoteNeighbours []fleet.Host
	watcher, relay                    bool
	staleAfter                        time.Duration
}

// NewPlan returns the daemon's plan for the given hosts.
func NewPlan(config Config, hosts []fleet.Host) *Plan {
	p := &Plan{config: config, hosts: hosts}
	rank := xxhash.Sum64String(config.Host)
	ahead := 0 // hosts of the data centre with a higher hash
	isMember := false
	for i := range hosts {
		switch h := &hosts[i]; {
		case h.DataCentre != config.DataCentre:
			p.remote = append(p.remote, i)
		case h.Name == config.Host:
			isMember = true
		default:
			p.local = append(p.local, i)
			if xxhash.Sum64String(h.Name) > rank {
				ahead++
			}
		}
	}
	p.watcher = isMember && ahead < WatchersPerDataCentre
	p.relay = ahead < RelaysPerDataCentre
	p.remoteNeighbours = p.drawRemoteNeighbours()
	p.localNeighbours = p.sample(p.local, maxNeighbours-len(p.remoteNeighbours))
	p.staleAfter = StaleAfter + time.Duration(config.Random()%uint64(staleJitter))
	return p
}

// Watches reports whether the daemon has to watch the platform, given when the
// platform was last known to answer.
func (p *Plan) Watches(answered, now time.Time) bool {
	return p.watcher || p.StaleIn(answered, now) < 0
}

// StaleIn returns for how much longer the daemon relies on the watchers without another answer; negative if it no
// longer does.
func (p *Plan) StaleIn(answered, now time.Time) time.Duration {
	return p.staleAfter - now.Sub(answered)
}

// IsWatcher reports whether the daemon is one of the permanent watchers.
func (p *Plan) IsWatcher() bool { return p.watcher }

// IsRelay reports whether the daemon regularly compares all hosts with other data centres.
func (p *Plan) IsRelay() bool { return p.relay }

// drawRemoteNeighbours returns the hosts of other data centres to poll. A relay polls each of them.
func (p *Plan) drawRemoteNeighbours() []fleet.Host {
	if p.relay {
		return p.oneOfEachRemote()
	}
	return p.sample(p.remote, maxRemoteNeighbours)
}

// NotifyTargets returns random hosts to notify of a new revision.
func (p *Plan) NotifyTargets() []fleet.Host {
	return append(p.sample(p.local, LocalFanout), p.sample(p.remote, RemoteFanout)...)
}

// ConfirmTargets returns random hosts of the same data centre to notify of an answer of the platform.
func (p *Plan) ConfirmTargets() []fleet.Host { return p.sample(p.local, ConfirmFanout) }

// UpdateTargets returns random hosts of the same data centre to send updates of hosts to.
func (p *Plan) UpdateTargets() []fleet.Host { return p.sample(p.local, updateFanout) }

// RemoteUpdateTargets returns one host in each of a few other data centres, to which
// a host sends its own updates. They pass them on within their data centres.
func (p *Plan) RemoteUpdateTargets() []fleet.Host { return p.oneOfEachRemote() }

// oneOfEachRemote returns a random host in each of up to maxRemoteTargets other data centres.
func (p *Plan) oneOfEachRemote() []fleet.Host {
	byDataCentre := make(map[string][]int)
	for _, i := range p.remote {
		dataCentre := p.hosts[i].DataCentre
		byDataCentre[dataCentre] = append(byDataCentre[dataCentre], i)
	}
	var chosen []fleet.Host
	for _, hosts := range byDataCentre { // map order is random, so the bound skips different ones each time
		if len(chosen) == maxRemoteTargets {
			break
		}
		chosen = append(chosen, p.hosts[hosts[p.intN(len(hosts))]])
	}
	return chosen
}

// sample returns count distinct hosts at random, or all if there are fewer.
func (p *Plan) sample(hosts []int, count int) []fleet.Host {
	count = min(count, len(hosts))
	places := make([]int, 0, count)
	chosen := make([]fleet.Host, 0, count)
	for len(chosen) < count {
		place := p.intN(len(hosts))
		if slices.Contains(places, place) {
			continue
		}
		places = append(places, place)
		chosen = append(chosen, p.hosts[hosts[place]])
	}
	return chosen
}

// PollTarget returns a random neighbour to poll for its revision, or false if there is none.
func (p *Plan) PollTarget() (fleet.Host, bool) {
	oneIn := remotePollOneIn
	if p.relay {
		oneIn = relayPollOneIn
	}
	from := p.localNeighbours
	if len(from) == 0 || len(p.remote) > 0 && p.intN(oneIn) == 0 {
		from = p.remoteNeighbours
	}
	if len(from) == 0 {
		return fleet.Host{}, false
	}
	return from[p.intN(len(from))], true
}

// intN returns a random number in [0, n).
func (p *Plan) intN(n int) int { return int(uint32(p.config.Random()>>32)) % n }
