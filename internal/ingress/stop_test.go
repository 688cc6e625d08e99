package ingress

import (
	"net/http"
	"testing"
	"time"
)

// TestPlannedStopAnswersPendingRequests guards against wrong or late answers to pending requests at
// the end of a planned stop: one that runs may have run, one that waits for a slot was not run.
func TestPlannedStopAnswersPendingRequests(t *testing.T) {
	for name, c := range map[string]struct {
		waits bool
		want  int
	}{
		"running": {false, http.StatusGatewayTimeout},
		"waiting": {true, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			in, b := newTwoBackends(t)
			b.slow.Store(true)
			b.full.Store(true)
			b.waits.Store(c.waits)
			time.AfterFunc(slowDuration/4, in.AnswerAll)
			began := time.Now()
			status, _ := get(in)
			if status != c.want || time.Since(began) > slowDuration/2 {
				t.Fatalf("status %d after %v, want %d immediately", status, time.Since(began), c.want)
			}
		})
	}
}
