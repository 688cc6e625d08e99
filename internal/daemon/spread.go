package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/registry"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/spread"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// peerTimeout bounds a call about revisions to another daemon.
	peerTimeout = 2 * time.Second
	// pollTimeout bounds the question which revision another daemon has. Source: a
	// hundred round trips between data centres; a daemon that has missed a change
	// has to have asked several others within two seconds.
	pollTimeout = 400 * time.Millisecond
	// pollTries is how often another daemon is drawn if one cannot be reached.
	pollTries = 4
	// watchEvery is how often it is looked at whether to watch the platform.
	watchEvery = time.Second
	// recently is how long what others said of the platform counts.
	recently = 20 * time.Second
	// pollAnyOneIn is how often any host that was ever told of is asked.
	pollAnyOneIn = 8
)

// follow brings revisions here until ctx ends: it watches the platform while
// that is this daemon's part, and asks other daemons.
func (d *daemon) follow(ctx context.Context) {
	go d.pollPeers(ctx)
	for ctx.Err() == nil {
		if !d.watches() {
			wait.For(ctx, watchEvery)
			continue
		}
		d.watch(ctx)
	}
}

// watch watches the platform while that is this daemon's part.
func (d *daemon) watch(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.watching.Store(true)
	go d.source.follow(ctx, d.revision(), d.take)
	if !d.registers() {
		go d.followHosts(ctx)
	}
	for ctx.Err() == nil && d.watches() {
		wait.For(ctx, watchEvery)
	}
	d.notePlatform(d.platformLastSeen())
	d.watching.Store(false)
}

// watches says whether this daemon watches the platform: always until it has a
// declaration, then as the plan says.
func (d *daemon) watches() bool {
	plan := d.plan.Load()
	return plan == nil || plan.Watches(d.platformLastSeen(), time.Now())
}

// platformLastSeen returns when the platform was last known to answer, here or
// elsewhere. A watch that waits is as good as an answer.
func (d *daemon) platformLastSeen() time.Time {
	if d.watching.Load() && *d.platform.Load() == platformUp {
		return time.Now()
	}
	return time.Unix(0, d.lastSeen.Load())
}

// platformNow is the state of the platform for operators: what this daemon sees
// if it watches, else what it has heard of late.
func (d *daemon) platformNow() platformState {
	if d.watching.Load() {
		return *d.platform.Load()
	}
	if time.Since(d.platformLastSeen()) < recently {
		return platformUp
	}
	return platformUnknown
}

func (d *daemon) revision() int64 {
	if current := d.inForce.Load(); current != nil {
		return current.Revision.Number
	}
	return 0
}

// pollPeers asks one other daemon now and then which revision it has; until there
// is a declaration it asks the seeds.
func (d *daemon) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if address, ok := d.pollWhom(); ok {
			d.fetch(ctx, address)
		} else {
			d.pollSeeds(ctx)
		}
		wait.For(ctx, spread.PollEvery/2+rand.N(spread.PollEvery))
	}
}

// pollWhom returns the control address of the daemon to ask next. Now and then
// that is any that was ever told of, since one that is gone may be back and know
// nobody.
func (d *daemon) pollWhom() (string, bool) {
	if known := d.members.all(); d.registers() && rand.N(pollAnyOneIn) == 0 {
		if h := known[rand.N(len(known))]; h.Name != d.config.Settings.Name {
			return h.Control, true
		}
	}
	plan := d.plan.Load()
	if plan == nil {
		return "", false
	}
	host, ok := plan.Poll()
	for range pollTries {
		if !ok || !d.ingress.Away(host.Name) {
			break
		}
		host, ok = plan.Poll()
	}
	return d.controlOf(host), ok
}

// pollSeeds asks every seed, and takes the highest revision that any of them has.
func (d *daemon) pollSeeds(ctx context.Context) {
	if *d.platform.Load() == platformUp {
		return
	}
	for _, seed := range d.config.Settings.Seeds {
		if d.fetch(ctx, seed) {
			event.Log(d.config.Logger, event.DeclarationFromPeers, "from", seed, "revision", d.revision())
		}
	}
}

// fetch takes the revision of the daemon at the address, if it is higher than the
// one here, and says whether it was.
func (d *daemon) fetch(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var held control.Held
	before := d.revision()
	above := control.Above{Revision: before, Hosts: d.hostsSum()}
	if err := d.peers.Call(ctx, address, control.MethodRevision, above, &held); err != nil {
		return false
	}
	d.exchangeHosts(ctx, address, held)
	d.notePlatform(time.Now().Add(-time.Duration(held.SilentMs) * time.Millisecond))
	if held.Revision.Number > before {
		d.take(held.Revision)
	}
	return d.revision() > before
}

// notePlatform takes it that the platform was known to answer then.
func (d *daemon) notePlatform(at time.Time) {
	for {
		known := d.lastSeen.Load()
		if at.UnixNano() <= known || d.lastSeen.CompareAndSwap(known, at.UnixNano()) {
			return
		}
	}
}

// held answers a daemon that asks which revision this one has.
func (d *daemon) held(asked control.Above) control.Held {
	above := asked.Revision
	held := control.Held{SilentMs: time.Since(d.platformLastSeen()).Milliseconds()}
	d.answerHosts(asked, &held)
	current := d.inForce.Load()
	if current == nil {
		return held
	}
	held.Revision.Number = current.Revision.Number
	if current.Revision.Number > above {
		held.Revision = current.Revision
	}
	return held
}

// hostsSum returns the hash of the known hosts, if hosts register themselves.
func (d *daemon) hostsSum() uint64 {
	if !d.registers() {
		return 0
	}
	var sum uint64
	d.members.with(func(t *member.Table, _ *registry.Registry) { sum = t.Sum() })
	return sum
}

// answerHosts adds the digest of what is known here if the asking daemon does not
// know the same.
func (d *daemon) answerHosts(asked control.Above, held *control.Held) {
	if asked.Hosts == 0 || !d.registers() || asked.Hosts == d.hostsSum() {
		return
	}
	d.members.with(func(t *member.Table, _ *registry.Registry) { held.Digest = t.Digest() })
}

// exchangeHosts tells the peer what it does not know of hosts, and takes what it
// answers with.
func (d *daemon) exchangeHosts(ctx context.Context, address string, held control.Held) {
	if held.Digest == nil {
		return
	}
	told := control.Told{Host: d.config.Settings.Name}
	d.members.with(func(t *member.Table, _ *registry.Registry) {
		told.Hosts = t.Missing(held.Digest)
		told.Digest = t.Digest()
	})
	var rest control.Rest
	if err := d.peers.Call(ctx, address, control.MethodTold, told, &rest); err != nil {
		event.Log(d.config.Logger, event.PeerSilent, "address", address, "call", control.MethodTold, "error", err)
		return
	}
	d.learn(address, rest.Hosts)
}

// receiveNotice fetches a revision that another daemon says it has.
func (d *daemon) receiveNotice(notice control.Notice) {
	current := d.inForce.Load()
	if current == nil || notice.Revision <= current.Revision.Number {
		return
	}
	if host, ok := current.Index.Host(notice.Host); ok {
		go d.fetch(context.Background(), d.controlOf(host))
	}
}

// notifyPeers tells a few other daemons of the revision that was just put in force.
func (d *daemon) notifyPeers(r revision.Revision, plan *spread.Plan) {
	notice := control.Notice{Host: d.config.Settings.Name, Revision: r.Number}
	for _, host := range plan.Notify() {
		go d.callPeer(d.controlOf(host), control.MethodNotice, notice)
	}
}
