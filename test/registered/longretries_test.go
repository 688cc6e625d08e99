package registered

import (
	"context"
	"testing"
	"time"
)

// longSettings makes the requests of this test long.
const longSettings = "long-requests: {latency-target: 750ms}\n"

// TestLongRetriesFollowTheirRoute guards against retries that are refused for calls that their route never makes, and
// against retries beyond the limit. Most requests are on a route that calls nothing.
func TestLongRetriesFollowTheirRoute(t *testing.T) {
	const (
		searchHosts, nameHosts, played = 6, 3, 6 * time.Second
		// minShare is the least share of the requests to search that quiet retries are. In trials they were 9%, and
		// 0.7% without the setting.
		minShare = 0.02
	)
	seen := newRetryRecorder()
	f := newTwoServices(t, searchHosts, nameHosts, longSettings, seen)
	ctx, cancel := context.WithTimeout(t.Context(), played)
	defer cancel()
	f.startCallers(ctx, seen, map[string]int{"search": 60, "quiet": 190, "names": 20}).Wait()
	seen.check(t, "search")
	seen.check(t, "names")
	quiet, requests := seen.retriesByPath["/quiet/x"], len(seen.requests["search"])
	if t.Logf("%d retries of the route that calls nothing, %d requests", quiet, requests); float64(quiet) < minShare*float64(requests) {
		t.Errorf("%d retries of the route that calls nothing at %d requests, want at least %g of them", quiet, requests, minShare)
	}
}
