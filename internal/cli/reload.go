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

// settingsInterval is how often the settings file is read without a signal, so that a new file is in
// force within two seconds.
const settingsInterval = time.Second

// settingsFile watches the settings file of a running daemon.
type settingsFile struct {
	name    string
	logger  *slog.Logger
	content []byte // content when last read
}

// hangUpSignals returns a channel that receives SIGHUP. Before the call, and after a call of the returned clean-up
// function, the signal ends the process.
func hangUpSignals() (<-chan os.Signal, func()) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps, func() { signal.Stop(hangUps) }
}

// watch sends the settings each time the file has changed, with or without a signal,
// until ctx ends. An invalid file is logged and ignored.
func (f *settingsFile) watch(ctx context.Context, hangUps <-chan os.Signal) <-chan settings.Settings {
	changed := make(chan settings.Settings)
	go func() {
		ticker := time.NewTicker(settingsInterval)
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

// send sends the settings, unless ctx ends first.
func send(ctx context.Context, changed chan<- settings.Settings, s settings.Settings) {
	select {
	case changed <- s:
	case <-ctx.Done():
	}
}

// readChanged reads the file and reports whether it contains new, valid settings.
func (f *settingsFile) readChanged() (settings.Settings, bool) {
	data, err := os.ReadFile(f.name)
	if err == nil && bytes.Equal(data, f.content) {
		return settings.Settings{}, false
	}
	if err != nil {
		f.logRefused(err)
		return settings.Settings{}, false
	}
	f.content = data
	s, err := settings.Parse(f.name, data)
	if err != nil {
		f.logRefused(err)
		return settings.Settings{}, false
	}
	return s, true
}

// logRefused logs why the file is not applied.
func (f *settingsFile) logRefused(err error) {
	event.Log(f.logger, event.SettingsRefused, "file", f.name, "error", err)
}
