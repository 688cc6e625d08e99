package daemon

import (
	"context"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/settings"
)

// followSettings takes the settings each time their file has changed.
func (d *daemon) followSettings(ctx context.Context) {
	for {
		select {
		case s := <-d.config.Reloads:
			d.takeSettings(s)
		case <-ctx.Done():
			return
		}
	}
}

// takeSettings puts in force what can change in a running daemon: the log level,
// the limit of a stop, and what holds for every service.
func (d *daemon) takeSettings(s settings.Settings) {
	old := d.live.Swap(&s)
	if d.config.Level != nil {
		d.config.Level.Set(s.Log.SlogLevel())
	}
	if old.Source != s.Source {
		d.declarations.Reparse()
	}
	event.Log(d.config.Logger, event.SettingsTaken, "needs_start", needsStart(*old, s))
}

// needsStart reports whether something changed that only a start puts in force. Whether it is the
// fleet's first start is of no use once it has been.
func needsStart(old, next settings.Settings) bool {
	next.Log.Level, next.Source, next.Limits.Stop = old.Log.Level, old.Source, old.Limits.Stop
	next.FirstStart = old.FirstStart
	return !next.Equal(old)
}
