package cli

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/settings"
)

// readEvery is how often the settings file is read without a signal. Source: whoever replaces
// it expects it in force within two seconds.
const readEvery = time.Second

// settingsFile follows the settings file of a running daemon.
type settingsFile struct {
	name   string
	logger *slog.Logger
	seen   []byte // its content when it was last read
}

// hangUpSignals returns a channel for SIGHUP. Without it, and after the clean-up function was called, the signal ends
// the process.
func hangUpSignals() (<-chan os.Signal, func()) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps, func() { signal.Stop(hangUps) }
}

// follow sends the settings each time the file changes, after a signal or without,
// until ctx ends. A file that is wrong changes nothing.
func (f *settingsFile) follow(ctx context.Context, hangUps <-chan os.Signal) <-chan settings.Settings {
	changed := make(chan settings.Settings)
	go func() {
		ticker := time.NewTicker(readEvery)
		defer ticker.Stop()
		for {
			select {
			case <-hangUps:
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			if s, ok := f.readChanged(); ok {
				send(ctx, changed, s)
			}
		}
	}()
	return changed
}

// send gives the settings to the daemon, unless it has ended.
func send(ctx context.Context, changed chan<- settings.Settings, s settings.Settings) {
	select {
	case changed <- s:
	case <-ctx.Done():
	}
}

// readChanged reads the file and reports whether it holds new settings that are right.
func (f *settingsFile) readChanged() (settings.Settings, bool) {
	data, err := os.ReadFile(f.name)
	if err == nil && bytes.Equal(data, f.seen) {
		return settings.Settings{}, false
	}
	if err != nil {
		f.logRefused(err)
		return settings.Settings{}, false
	}
	f.seen = data
	s, err := settings.Parse(f.name, data)
	if err != nil {
		f.logRefused(err)
		return settings.Settings{}, false
	}
	return s, true
}

// logRefused logs why the file changes nothing.
func (f *settingsFile) logRefused(err error) {
	event.Log(f.logger, event.SettingsRefused, "file", f.name, "error", err)
}
