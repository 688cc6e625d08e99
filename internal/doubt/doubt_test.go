package doubt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/doubt"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWhatBeginsDoubt(t *testing.T) {
	good := func(d *doubt.Doubt) { d.Good(epoch) }
	bad := func(weight float64) func(*doubt.Doubt) {
		return func(d *doubt.Doubt) { d.Bad(epoch, weight) }
	}
	tests := []struct {
		name  string
		steps []func(*doubt.Doubt)
		want  bool
	}{
		{"nothing", nil, false},
		{"one broken connection", []func(*doubt.Doubt){bad(doubt.Broken)}, true},
		{"one failure", []func(*doubt.Doubt){bad(doubt.Failed)}, false},
		{"two failures in a row", []func(*doubt.Doubt){bad(doubt.Failed), bad(doubt.Failed)}, true},
		{"two failures with a good answer between", []func(*doubt.Doubt){bad(doubt.Failed), good, bad(doubt.Failed)}, false},
		{"one good answer after", []func(*doubt.Doubt){bad(doubt.Broken), good}, true},
		{"two good answers after", []func(*doubt.Doubt){bad(doubt.Broken), good, good}, false},
		{"good and bad by turns after", []func(*doubt.Doubt){bad(doubt.Broken), good, bad(doubt.Failed), good}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := doubt.New()
			for _, step := range test.steps {
				step(d)
			}
			if d.Doubted() != test.want {
				t.Fatalf("doubted %t, want %t", d.Doubted(), test.want)
			}
		})
	}
}

// TestProbesAreFewAndNeverStop sends a probe whenever one may be sent, to a
// backend server that fails all of them.
func TestProbesAreFewAndNeverStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := doubt.New()
		d.Bad(epoch, doubt.Broken)
		now, last := epoch, epoch
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			if !d.MayProbe(now) {
				if now.Sub(last) > 2*time.Second {
					t.Fatalf("no probe for %s", now.Sub(last))
				}
				continue
			}
			if last != epoch && now.Sub(last) < 200*time.Millisecond {
				t.Fatalf("two probes within %s", now.Sub(last))
			}
			last = now
			d.Probe(now)
			d.Bad(now, doubt.Broken)
		}
	})
}
