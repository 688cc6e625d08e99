package daemon

import (
	"context"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/settings"
)

// followSettings applies the settings each time their file has changed.
func (d *daemon) followSettings(ctx context.Context) {
	for {
		select {
		case s := <-d.config.Reloads:
			d.applySettings(s)
		case <-ctx.Done():
			return
		}
	}
}

// applySettings applies the settings that can change in a running daemon: the log
// level, the stop limit, and the settings that apply to every service.
func (d *daemon) applySettings(s settings.Settings) {
	old := d.live.Swap(&s)
	if d.config.Level != nil {
		d.config.Level.Set(s.Log.SlogLevel())
	}
	if old.Source != s.Source {
		d.declarations.Reparse()
	}
	event.Log(d.config.Logger, event.SettingsTaken, "needs_start", needsRestart(*old, s))
}

// needsRestart reports whether a changed setting takes effect only at a restart.
// FirstStart is ignored, since it has no effect after the fleet's first start.
func needsRestart(old, next settings.Settings) bool {
	next.Log.Level, next.Source, next.Limits.Stop = old.Log.Level, old.Source, old.Limits.Stop
	next.FirstStart = old.FirstStart
	return !next.Equal(old)
}
