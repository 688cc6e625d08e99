// Package gossip decides how a revision of the declaration and updates of hosts
// reach every daemon: who watches the platform, which others a daemon tells of what is new,
// and which it asks now and then for what it missed.
//
// A Plan is read-only and made anew with each declaration. It has no clock,
// goroutine or socket; the daemon's task owns what it is used for.
//
// # Usage
//
//	plan := gossip.NewPlan(gossip.Config{Host: "csepel-1", DataCentre: "csepel", Random: rand.Uint64}, hosts)
//	if plan.Watches(freshAt, now) { ... }   // watch the platform oneself
//	for _, host := range plan.Notify() { ... } // a new revision: tell these
//	for _, host := range plan.Near() { ... }   // updates of hosts: tell these,
//	for _, host := range plan.OneOfEach() { ... } // and these of the own host
//	host, ok := plan.Poll()                    // every PollEvery or so
//
// # Rules
//
//   - WatchersEach daemons of each data centre watch the platform, those whose
//     names hash highest. All work that out from the declaration alone.
//   - A daemon that learns of a new revision tells a few others at random, in its
//     own data centre and outside, each of which fetches it and tells a few in
//     turn. So it spreads in a number of steps that grows with the logarithm of
//     the daemons, also round a cut.
//   - Updates of hosts are told to a few in the own data centre. What a host has to tell
//     of itself goes to one host each of a few other data centres too, who tell it on
//     near them.
//   - Every PollEvery a daemon asks one other at random which revision it has, for
//     what was lost on the way. The answer also says how long ago the other knew
//     the platform to answer.
//   - A daemon that has not heard of an answer of the platform for StaleAfter, and
//     a random time as long again, watches the platform itself, since the watchers
//     may be gone.
package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	// WatchersEach is how many daemons of a data centre watch the platform.
	WatchersEach = 2
	// NotifyNear is how many others of its own data centre a daemon tells of a
	// revision.
	NotifyNear = 4
	// NotifyFar is how many of other data centres.
	NotifyFar = 2
	// PollInterval is how often a daemon asks another for its revision.
	PollInterval = 500 * time.Millisecond
	// StaleAfter is how long a daemon relies on others' watching. Source: all
	// watchers may be lost at once, and a change has to be in force within seconds.
	StaleAfter = 5 * time.Second
	// updatesNear is how many others of its own data centre a daemon tells updates of hosts.
	// Source: each record comes so many times to each daemon; what is missed is asked
	// for within a second.
	updatesNear = 2
	// maxFarTold bounds how many other data centres a host tells of its own updates.
	// Source: what is left out is asked for within seconds.
	maxFarTold = 8
	// farOneIn is how often a daemon asks one of another data centre.
	farOneIn = 8
)

// Config says whose plan it is.
type Config struct {
	// Host and DataCentre name the daemon.
	Host, DataCentre string
	// Random returns 64 random bits.
	Random func() uint64
}

// Plan is what one daemon does to spread revisions and updates of hosts.
type Plan struct {
	config  Config
	near    []fleet.Host
	far     []fleet.Host
	watcher bool
	stale   time.Duration
}

// NewPlan returns the daemon's plan under the declared hosts.
func NewPlan(config Config, hosts []fleet.Host) *Plan {
	p := &Plan{config: config}
	var own []fleet.Host
	for _, h := range hosts {
		switch {
		case h.DataCentre != config.DataCentre:
			p.far = append(p.far, h)
		case h.Name != config.Host:
			p.near = append(p.near, h)
		}
		if h.DataCentre == config.DataCentre {
			own = append(own, h)
		}
	}
	p.watcher = isWatcher(config.Host, own)
	p.stale = StaleAfter + time.Duration(config.Random()%uint64(StaleAfter))
	return p
}

// isWatcher reports whether the host is one of those of its data centre that watch.
func isWatcher(host string, own []fleet.Host) bool {
	slices.SortFunc(own, func(a, b fleet.Host) int {
		return cmp.Compare(xxhash.Sum64String(b.Name), xxhash.Sum64String(a.Name))
	})
	chosen := own[:min(WatchersEach, len(own))]
	return slices.ContainsFunc(chosen, func(h fleet.Host) bool { return h.Name == host })
}

// Watches reports whether the daemon watches the platform, if the platform was last
// known to answer then.
func (p *Plan) Watches(answered, now time.Time) bool {
	return p.watcher || now.Sub(answered) > p.stale
}

// IsWatcher reports whether the daemon is one of those that always watch.
func (p *Plan) IsWatcher() bool { return p.watcher }

// NotifyTargets returns the hosts to notify of a new revision.
func (p *Plan) NotifyTargets() []fleet.Host {
	return append(p.some(p.near, NotifyNear), p.some(p.far, NotifyFar)...)
}

// UpdateTargets returns the hosts of the own data centre to tell of updates of hosts.
func (p *Plan) UpdateTargets() []fleet.Host { return p.some(p.near, updatesNear) }

// RemoteUpdateTargets returns one host of each of a few other data centres, which a host
// tells its own updates. They tell them on to those near them.
func (p *Plan) RemoteUpdateTargets() []fleet.Host {
	byDataCentre := make(map[string][]fleet.Host)
	for _, h := range p.far {
		byDataCentre[h.DataCentre] = append(byDataCentre[h.DataCentre], h)
	}
	var chosen []fleet.Host
	for _, hosts := range byDataCentre { // in no order, so that the bound leaves out others each time
		if len(chosen) == maxFarTold {
			break
		}
		chosen = append(chosen, hosts[p.below(len(hosts))])
	}
	return chosen
}

// some returns a number of the hosts, chosen at random without repetition.
func (p *Plan) some(hosts []fleet.Host, count int) []fleet.Host {
	count = min(count, len(hosts))
	places := make([]int, 0, count)
	chosen := make([]fleet.Host, 0, count)
	for len(chosen) < count {
		place := p.below(len(hosts))
		if slices.Contains(places, place) {
			continue
		}
		places = append(places, place)
		chosen = append(chosen, hosts[place])
	}
	return chosen
}

// PollTarget returns one other to ask for its revision. It returns false if there is none.
func (p *Plan) PollTarget() (fleet.Host, bool) {
	from := p.near
	if len(from) == 0 || len(p.far) > 0 && p.below(farOneIn) == 0 {
		from = p.far
	}
	if len(from) == 0 {
		return fleet.Host{}, false
	}
	return from[p.below(len(from))], true
}

// below returns a random number from 0 to n-1.
func (p *Plan) below(n int) int { return int(uint32(p.config.Random()>>32)) % n }
