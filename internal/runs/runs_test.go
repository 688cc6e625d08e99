package runs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/runs"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestCaller(t *testing.T) {
	table := runs.New()
	for _, run := range []runs.Run{{ID: "4f2a"}, {ID: "4f2a.1", Retry: true}, {ID: "77-b0"}, {ID: "", Retry: true}} {
		table.Begin(epoch, run)
	}
	tests := []struct {
		id   string
		want string // the run's id; empty if there is none
	}{
		{"4f2a.2", "4f2a"},
		{"4f2a.1.9", "4f2a.1"},
		{"4f2a.2.9", "4f2a"},
		{"4f2a.1", "4f2a"},
		{"77-b0-3", "77-b0"},
		{"77-b0/3", "77-b0"},
		{"4f2a", ""},
		{"4f2a1", ""},
		{".4f2a", ""},
		{"77", ""},
		{"", ""},
		{"a.b.c.d.e.f.g", ""},
	}
	for _, test := range tests {
		run, ok := table.Caller(epoch, test.id)
		if run.ID != test.want || ok != (test.want != "") {
			t.Errorf("%q was sent by %q (%v), want %q", test.id, run.ID, ok, test.want)
		}
	}
}

// TestARetryStaysARetry guards against a run that is no longer known as a retry after the same
// request is recorded again as a first attempt.
func TestARetryStaysARetry(t *testing.T) {
	table := runs.New()
	for _, retried := range []bool{false, true, false} {
		table.Begin(epoch, runs.Run{ID: "a", Retry: retried})
	}
	if run, _ := table.Caller(epoch, "a.1"); !run.Retry {
		t.Fatal("the run is no longer known as a retry")
	}
}

// TestRunsAreForgotten guards against runs that are dropped too early or kept without bound.
func TestRunsAreForgotten(t *testing.T) {
	table := runs.New()
	now := epoch
	const count, pause = 5000, 10 * time.Millisecond
	for n := range count {
		now = now.Add(pause)
		table.Begin(now, runs.Run{ID: fmt.Sprint(n)})
	}
	known := func(n int) bool {
		_, ok := table.Caller(now, fmt.Sprintf("%d.1", n))
		return ok
	}
	const within = int(15 * time.Second / pause)
	for n := count - within; n < count; n++ {
		if !known(n) {
			t.Fatalf("run %d of %d is dropped too early", n, count)
		}
	}
	for n := range count - 2*within {
		if known(n) {
			t.Fatalf("run %d of %d is still kept", n, count)
		}
	}
}

// BenchmarkCaller measures the lookup of ids without a separator, and of ids of calls.
func BenchmarkCaller(b *testing.B) {
	table := runs.New()
	for n := range 1000 {
		table.Begin(epoch, runs.Run{ID: fmt.Sprintf("%016x", n)})
	}
	for name, id := range map[string]string{"no separator": "00000000000003e7", "call": "00000000000003e7.9"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Caller(epoch, id)
			}
		})
	}
}
