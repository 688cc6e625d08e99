package daemon

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/member"
)

const (
	// newsDelay is how long news of hosts is gathered before it is told. Source: a
	// start of many hosts is told in batches, and nobody waits for the news, since
	// whoever has not heard that a backend server is gone learns it from a refusal.
	newsDelay = 100 * time.Millisecond
	// newsWaiting is how much news may wait to be gathered.
	newsWaiting = 256
)

// learn takes what another daemon or the store told of hosts, and tells it on.
func (d *daemon) learn(from string, told []member.Host) {
	if !d.registers() {
		return
	}
	news, forbidden := d.members.merge(told)
	if len(forbidden) > 0 {
		event.Log(d.config.Logger, event.ServersRegistered, "why", "left in an earlier life", "left", forbidden, "from", from)
	}
	if len(news) == 0 {
		return
	}
	for _, h := range news {
		event.Log(d.config.Logger, event.HostLearned, "host", h.Name, "from", from, "life", h.Incarnation, "version", h.Version,
			"gone", h.Gone, "stopping", h.Stopping, "servers", len(h.Servers))
	}
	d.retake()
	d.tell(from, news)
}

// news is what is to be told of hosts.
type news struct {
	hosts []member.Host
	from  string // who told it here; empty if it is of the own host
}

// tell has a few other daemons told of hosts soon.
func (d *daemon) tell(from string, hosts []member.Host) {
	select {
	case d.news <- news{hosts: hosts, from: from}:
	default: // others ask for what they were not told
		event.Log(d.config.Logger, event.NewsDropped, "hosts", len(hosts))
	}
}

// tellNews tells other daemons of hosts until ctx ends. What comes within a
// moment is told at once; what is of the own host is told to other data centres
// too, where it is told on.
func (d *daemon) tellNews(ctx context.Context) {
	for {
		select {
		case first := <-d.news:
			d.tellBatch(d.gatherNews(ctx, first))
		case <-ctx.Done():
			return
		}
	}
}

// newsBatch is what is told at once.
type newsBatch struct {
	hosts map[string]member.Host
	own   bool
}

// add takes news into the batch; of one host the last counts.
func (b *newsBatch) add(n news) {
	for _, h := range n.hosts {
		b.hosts[h.Name] = h
	}
	b.own = b.own || n.from == ""
}

// gatherNews takes what comes within the moment.
func (d *daemon) gatherNews(ctx context.Context, first news) newsBatch {
	batch := newsBatch{hosts: make(map[string]member.Host)}
	batch.add(first)
	timer := time.NewTimer(newsDelay)
	defer timer.Stop()
	for {
		select {
		case next := <-d.news:
			batch.add(next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
}

// tellBatch tells a few near daemons, and of the own host a few far ones, too.
func (d *daemon) tellBatch(batch newsBatch) {
	plan := d.plan.Load()
	if plan == nil {
		return // whoever is found later is told all
	}
	told := control.Told{Host: d.config.Settings.Name, Hosts: slices.Collect(maps.Values(batch.hosts))}
	whom := plan.Near()
	if batch.own {
		whom = append(whom, plan.OneOfEach()...)
	}
	d.tellEach(whom, control.MethodTold, told)
}
