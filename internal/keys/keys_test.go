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

// TestAnOlderFileIsReadToo guards against a certificate that is replaced and never read, since the wall clock has
// stepped back and the new file is older than the one before.
func TestAnOlderFileIsReadToo(t *testing.T) {
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
	w, err := newWatched([]string{file}, func() error { loads++; return nil }, slog.New(slog.DiscardHandler))
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
			t.Fatalf("%s: read %d times, want %d", test.name, loads, test.want)
		}
	}
}

// TestAFileThatCannotBeReadIsLogged guards against a new certificate that is never in force without a word of it:
// each reason is logged once, for as long as it is the same.
func TestAFileThatCannotBeReadIsLogged(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tokens.yaml")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var log bytes.Buffer
	var wrong error
	write("right")
	w, err := newWatched([]string{file}, func() error { return wrong }, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name   string
		change func()
		want   int // lines until then
	}{
		{"unchanged", func() {}, 0},
		{"wrong", func() { write("wrong!"); wrong = errors.New("not a token") }, 1},
		{"still wrong", func() {}, 1},
		{"wrong otherwise", func() { wrong = errors.New("not a list") }, 2},
		{"away", func() { _ = os.Remove(file) }, 3},
		{"right again", func() { write("right again"); wrong = nil }, 3},
	} {
		test.change()
		w.checked = time.Now().Add(-ReloadEvery)
		w.refresh()
		if lines := strings.Count(log.String(), "event=108"); lines != test.want {
			t.Fatalf("%s: %d lines, want %d: %s", test.name, lines, test.want, log.String())
		}
	}
}
