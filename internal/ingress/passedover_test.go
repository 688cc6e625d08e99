package ingress

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/tideliftd/tidelift/internal/result"
)

// TestSkippedBackendServersAreCountedInLog guards against a log line for each skipped backend
// server; the next failure's line has their counts.
func TestSkippedBackendServersAreCountedInLog(t *testing.T) {
	var log bytes.Buffer
	r := newTestRace(t, 1)
	in := &Ingress{config: Config{Logger: slog.New(slog.NewJSONHandler(&log, nil))}}
	for _, code := range []result.Code{result.Busy, result.Suspected, result.Busy, result.QueueTooSlow} {
		in.logAttempt(r.request, r.running[0], r.progress, result.New(code), true)
	}
	if log.Len() > 0 {
		t.Fatalf("skipped backend servers were logged separately: %s", &log)
	}
	in.logAttempt(r.request, r.running[0], r.progress, result.New(result.ConnectionLost), false)
	if got := log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, `"passed_over":"busy 2, suspected 1, queue-too-slow 1"`) {
		t.Fatalf("got %s", got)
	}
}
