package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

// TestRequestRunsOnceUnlessItsOwnRouteIsIdempotent guards against a request that runs twice after a lost answer, since it
// takes an idempotent route which its path does not begin.
func TestRequestRunsOnceUnlessItsOwnRouteIsIdempotent(t *testing.T) {
	servers, _, _ := strings.Cut(twoServers, "routes:")
	declaration := servers + `
routes:
- {path: /loans/, service: lookup, repeatable: []}
- {path: /loans/hold/, service: lookup, repeatable: [POST]}
`
	for path, want := range map[string]int64{
		"/loans/hold/7":   2,
		"/loans/hold":     1,
		"/loans/hold?a=/": 1,
		"/loans/hold%2F7": 1,
		"/loans//hold/7":  1,
		"/loans/7":        1,
		"/loans":          0,
	} {
		var runs atomic.Int64
		in := newLocalIngress(t, declaration, func(context.Context, hop.Call, *http.Request) (sidecar.Answer, error) {
			runs.Add(1)
			return sidecar.Answer{}, result.New(result.ConnectionLost)
		})
		in.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://a.example"+path, http.NoBody))
		if got := runs.Load(); got != want {
			t.Errorf("%s: %d runs, want %d", path, got, want)
		}
	}
}
