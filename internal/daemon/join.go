package daemon

import (
	"context"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/settings"
)

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
	d.tell("", []member.Host{d.members.self()})
	d.keepRecord(ctx, lease)
}
