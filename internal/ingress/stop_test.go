package ingress

import (
	"net/http"
	"testing"
	"time"
)

// TestLastAnswersSayWhatIsTrue ends a planned stop while one request runs and another
// has found no slot.
func TestLastAnswersSayWhatIsTrue(t *testing.T) {
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
			time.AfterFunc(slowFor/4, in.AnswerAll)
			began := time.Now()
			status, _ := get(in)
			if status != c.want || time.Since(began) > slowFor/2 {
				t.Fatalf("status %d after %v, want %d at once", status, time.Since(began), c.want)
			}
		})
	}
}
