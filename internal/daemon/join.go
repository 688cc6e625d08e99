package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

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
	go d.tellUpdates(ctx)
	lease := d.record.Write(ctx)
	d.record.ReadAll(ctx)
	d.health.Seen(time.Now())
	d.askSomeone(ctx)
	close(d.joined)
	d.tell("", []member.Host{d.members.self()})
	go d.record.CountHosts(ctx, d.retake)
	d.record.Keep(ctx, lease)
}

// hostsCounted reports whether this daemon may use its part of what the hosts share. Declared hosts
// are known by their number.
func (d *daemon) hostsCounted() bool { return !d.registers() || d.record.HostsCounted() }

// askSomeone asks the daemons that the store names, in no order, for what they know until
// one answers, so that a daemon that is back knows the backend servers before requests
// come.
func (d *daemon) askSomeone(ctx context.Context) {
	others := slices.DeleteFunc(d.members.all(), func(h member.Host) bool {
		return h.Gone || h.Name == d.config.Settings.Name
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, h := range others[:min(joinAsks, len(others))] {
		if d.ask(ctx, h.Control) {
			return
		}
	}
}
