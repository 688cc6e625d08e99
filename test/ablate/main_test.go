package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/test/bench"
)

// TestCloneDisablesMechanism guards against a clone in which the mechanism stays enabled.
func TestCloneDisablesMechanism(t *testing.T) {
	t.Chdir("../..")
	dir := filepath.Join(t.TempDir(), "copy")
	if err := cloneWithout(context.Background(), dir, experiment.Hedges); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, settingsFile))
	if err != nil || !strings.HasSuffix(string(data), "off: [hedges]\n") {
		t.Fatalf("got error %v, settings %q; want the mechanism listed last", err, data)
	}
}

func TestInterleave(t *testing.T) {
	day := func(name string) bench.Outcome { return bench.Outcome{Play: bench.Play{Day: name}} }
	all := interleave([]bench.Outcome{day("a"), day("b")}, []bench.Outcome{day("a without"), day("b without")})
	pairs := bench.Pairs(all)
	if len(pairs) != 2 || pairs[1].Before.Play.Day != "b" || pairs[1].After.Play.Day != "b without" {
		t.Fatalf("got pairs %+v", pairs)
	}
}
