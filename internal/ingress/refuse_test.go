package ingress

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/result"
)

// TestRefusalHasRetryAfter guards against refusals without Retry-After. Only a quarantined
// request has none, since it is refused every time.
func TestRefusalHasRetryAfter(t *testing.T) {
	for _, code := range result.All() {
		if code.Ran != result.RanNo || code.Status != http.StatusServiceUnavailable && code.Status != http.StatusTooManyRequests {
			continue
		}
		for _, written := range []fleet.RetryAfter{fleet.RetryAfterSeconds, fleet.RetryAfterDecimals} {
			want := map[fleet.RetryAfter]string{fleet.RetryAfterSeconds: "1", fleet.RetryAfterDecimals: "0.250"}[written]
			if code.Number == result.Quarantined.Number {
				want = ""
			}
			if got := refusal(t, result.New(code), written).Header().Get("Retry-After"); got != want {
				t.Errorf("%s, written in %s: Retry-After %q, want %q", code.Name, written, got, want)
			}
		}
	}
}

// TestFailureThatMayHaveRunHasNoRetryAfter guards against inviting callers to repeat a
// request that may have run.
func TestFailureThatMayHaveRunHasNoRetryAfter(t *testing.T) {
	if got := refusal(t, result.New(result.ConnectionLost), fleet.RetryAfterSeconds).Header().Get("Retry-After"); got != "" {
		t.Fatalf("Retry-After %q", got)
	}
}

// refusal returns the response to a request that fails with the failure.
func refusal(t *testing.T, failure *result.Error, written fleet.RetryAfter) *httptest.ResponseRecorder {
	t.Helper()
	in, cleanUp := New(Config{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	defer cleanUp()
	in.Reconfigure(fleet.NewIndex(fleet.Declaration{Callers: fleet.Callers{RetryAfter: written}}))
	w := httptest.NewRecorder()
	in.fail(w, httptest.NewRequest(http.MethodGet, "/", nil), time.Now(), failure)
	return w
}
