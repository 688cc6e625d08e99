package keys

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestOlderFileIsReloaded guards against ignoring a replaced file that is older than the previous one, as after a
// backward step of the wall clock.
func TestOlderFileIsReloaded(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tokens.yaml")
	write := func(text string, modified time.Time) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(file, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	loads := 0
	write("one", time.Now())
	w, err := newFileWatcher([]string{file}, func() error { loads++; return nil }, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name   string
		change func()
		want   int
	}{
		{"unchanged", func() {}, 1},
		{"replaced by an older one", func() { write("two", time.Now().Add(-time.Hour)) }, 2},
		{"replaced by a newer one", func() { write("six", time.Now()) }, 3},
	} {
		test.change()
		w.checked = time.Now().Add(-ReloadEvery)
		w.refresh()
		if loads != test.want {
			t.Fatalf("%s: loaded %d times, want %d", test.name, loads, test.want)
		}
	}
}

// TestReloadErrorIsLogged guards against a failed reload that is not logged, or is logged again for the same reason.
func TestReloadErrorIsLogged(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tokens.yaml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var log bytes.Buffer
	var wrong error
	write("right")
	w, err := newFileWatcher([]string{file}, func() error { return wrong }, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name   string
		change func()
		want   int // total number of log lines
	}{
		{"unchanged", func() {}, 0},
		{"wrong", func() { write("wrong!"); wrong = errors.New("not a token") }, 1},
		{"still wrong", func() {}, 1},
		{"wrong otherwise", func() { wrong = errors.New("not a list") }, 2},
		{"removed", func() { _ = os.Remove(file) }, 3},
		{"right again", func() { write("right again"); wrong = nil }, 3},
	} {
		test.change()
		w.checked = time.Now().Add(-ReloadEvery)
		w.refresh()
		if lines := strings.Count(log.String(), "event=108"); lines != test.want {
			t.Fatalf("%s: %d log lines, want %d: %s", test.name, lines, test.want, log.String())
		}
	}
}
