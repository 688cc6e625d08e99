package daemon

import (
	"testing"

	"github.com/tideliftd/tidelift/internal/settings"
)

func TestNeedsRestart(t *testing.T) {
	tests := map[string]struct {
		change func(*settings.Settings)
		want   bool
	}{
		"nothing":                     {func(*settings.Settings) {}, false},
		"the log level":               {func(s *settings.Settings) { s.Log.Level = "debug" }, false},
		"the retry limit":             {func(s *settings.Settings) { s.Source.RetrySlack = 9 }, false},
		"no longer the first start":   {func(s *settings.Settings) { s.FirstStart = false }, false},
		"the address for other hosts": {func(s *settings.Settings) { s.Listen.Peers = "10.1.0.1:1" }, true},
	}
	for name, test := range tests {
		old := settings.Settings{FirstStart: true}
		next := old
		test.change(&next)
		if got := needsRestart(old, next); got != test.want {
			t.Errorf("%s changed: needs a restart: %t", name, got)
		}
	}
}
