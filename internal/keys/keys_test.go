package keys

import (
	"os"
	"path/filepath"
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
	w, err := newWatched([]string{file}, func() error { loads++; return nil })
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
