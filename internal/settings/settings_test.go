package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/settings"
)

const right = `name: csepel-1
data-centre: csepel
listen: {callers: "127.0.0.1:1", peers: "127.0.0.1:2", control: "127.0.0.1:3", operators: "127.0.0.1:4"}
platform: {address: "http://127.0.0.1:5"}
`

func TestDefaults(t *testing.T) {
	s, err := settings.Parse("settings.yaml", []byte(right))
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits.Stop != settings.DefaultStopLimit || s.Limits.Unready != 0 || s.HeapGrowth != settings.DefaultHeapGrowth {
		t.Fatalf("%+v", s)
	}
}

func TestLimitsAreRead(t *testing.T) {
	s, err := settings.Parse("settings.yaml", []byte(right+"limits: {stop: 6s, unready: 2200ms}\nheap-growth: 100\nfirst-start: true\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits.Stop != 6*time.Second || s.Limits.Unready != 2200*time.Millisecond || s.HeapGrowth != 100 || !s.FirstStart {
		t.Fatalf("%+v", s)
	}
}

// TestRefusals guards against accepting an invalid value, and against an error that does not name the field and a
// valid value.
func TestRefusals(t *testing.T) {
	tests := []struct{ name, add, field, want string }{
		{"a wait as long as the stop", "limits: {stop: 2s, unready: 2s}", "limits.unready", "less than stop"},
		{"a negative wait", "limits: {unready: -1s}", "limits.unready", "0s or more"},
		{"a negative stop", "limits: {stop: -1s}", "limits.stop", "above zero"},
		{"a negative latency target", "long-requests: {latency-target: -1s}", "long-requests.latency-target", "0s or more"},
		{"a negative number of requests", "long-requests: {pipelined: -1}", "long-requests.pipelined", "0 or more"},
		{"negative memory", "limits: {memory-mb: -1}", "limits.memory-mb", "0 or more"},
		{"small headers", "limits: {header-bytes: 10}", "limits.header-bytes", "1024 or more"},
		{"no growth", "heap-growth: -5", "heap-growth", "1 or more"},
		{"no processors", "processors: -1", "processors", "1 or more"},
		{"a mechanism that does not exist", "experiments: {off: [hedges, floor]}", "experiments.off[1]", "compression"},
		{"a level that does not exist", "log: {level: loud}", "log.level", "info"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := settings.Parse("settings.yaml", []byte(right+test.add+"\n"))
			if err == nil {
				t.Fatal("Parse accepted an invalid value")
			}
			for _, part := range []string{"settings.yaml:5", test.field, test.want} {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error does not contain %q: %q", part, err)
				}
			}
		})
	}
}
