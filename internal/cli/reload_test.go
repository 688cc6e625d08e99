package cli

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/settings"
)

const validSettings = `name: csepel-1
data-centre: csepel
listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2, control: 127.0.0.1:3, operators: 127.0.0.1:4}
platform: {address: "http://127.0.0.1:5"}
limits: {stop: STOP}
`

// TestSettingsFileIsWatched replaces the file without a signal: valid settings are applied,
// invalid ones are refused with their line and field.
func TestSettingsFileIsWatched(t *testing.T) {
	name := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(stop string) {
		if err := os.WriteFile(name, []byte(strings.Replace(validSettings, "STOP", stop, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("5s")
	first, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	var logged bytes.Buffer
	file := &settingsFile{name: name, logger: slog.New(slog.NewTextHandler(&logged, nil)), content: first}
	if _, ok := file.readChanged(); ok {
		t.Fatal("an unchanged file was applied")
	}
	write("soon")
	if _, ok := file.readChanged(); ok {
		t.Fatal("an invalid file was applied")
	}
	if text := logged.String(); !strings.Contains(text, "event=107") || !strings.Contains(text, "settings.yaml:5") {
		t.Fatalf("logged %q", text)
	}
	if err := os.Remove(name); err != nil {
		t.Fatal(err)
	}
	if _, ok := file.readChanged(); ok {
		t.Fatal("a missing file was applied")
	}
	write("7s")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hangUps, cleanUp := hangUpSignals()
	defer cleanUp()
	select {
	case s := <-file.watch(ctx, hangUps):
		if s.Limits.Stop != 7*time.Second {
			t.Fatalf("stop limit %s", s.Limits.Stop)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("a changed file was not detected")
	}
	if _, err := settings.Parse(name, file.content); err != nil {
		t.Fatal(err)
	}
}
