package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/test/backendserver"
	"github.com/tideliftd/tidelift/test/harness"
)

// TestARequestIsCopiedWhenItsBackendServerHangs lets one of four backend servers swallow
// what it gets. Requests that take 10 ms are answered by others long before anything counts
// as overdue, which is at 380 ms. They come one at a time, so that none is sent elsewhere
// because others are on their way to the one that hangs.
func TestARequestIsCopiedWhenItsBackendServerHangs(t *testing.T) {
	spec := lookup("")
	spec.Services[0].Detection = "careful"
	spec.Services[0].Deadline = 3 * time.Second
	f := start(t, spec)
	stallFirst(t, f)
	const (
		requests = 40
		within   = 300 * time.Millisecond
	)
	slow := 0
	for range requests {
		if !answeredWithin(f, within) {
			slow++
		}
	}
	const busy = 1 // one may be slow for another reason, as a busy machine; without copies two are
	if slow > busy {
		t.Fatalf("%d of %d requests were not answered within %v", slow, requests, within)
	}
}

// answeredWithin sends an idempotent request and reports whether its answer came in time.
func answeredWithin(f *harness.Fleet, within time.Duration) bool {
	request, err := http.NewRequest(http.MethodGet, f.URL(0, "lookup", "/x"), nil)
	if err != nil {
		return false
	}
	request.Header.Set(backendserver.HeaderWork, "10")
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK && time.Since(began) <= within
}
