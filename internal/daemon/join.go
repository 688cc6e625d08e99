package daemon

import (
	"context"
	"math/rand/v2"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/settings"
)

// joinAsks is how many other daemons a daemon that joins asks at the most. Source: of
// those that the store names some may be gone, and the first that answers knows all.
const joinAsks = 4

// registers says whether hosts and backend servers register themselves.
func (d *daemon) registers() bool {
	return d.config.Settings.Source.Declared == settings.DeclaredByPlatform
}

// join keeps this daemon's record in the store until ctx ends, and finds the
// other daemons there. Of two that start at once the one that writes its record
// later finds the other's, since each reads after it has written. What a record
// says is told from daemon to daemon; in the store it only lets a daemon that
// knows nobody find some.
func (d *daemon) join(ctx context.Context) {
	go d.tellNews(ctx)
	lease := d.writeRecord(ctx)
	d.readRecords(ctx)
	d.askAtOnce(ctx)
	d.tell("", []member.Host{d.members.self()})
	d.keepRecord(ctx, lease)
}

// askAtOnce asks one of the daemons that the store names for what it knows, so that a
// daemon that is back knows the backend servers before requests come.
func (d *daemon) askAtOnce(ctx context.Context) {
	known := d.members.all()
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	asked := 0
	for _, h := range known {
		if h.Gone || h.Name == d.config.Settings.Name {
			continue
		}
		if asked == joinAsks || d.ask(ctx, h.Control) {
			return
		}
		asked++
	}
}
