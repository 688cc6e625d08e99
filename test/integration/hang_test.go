package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/test/backendserver"
	"github.com/tideliftd/tidelift/test/harness"
)

// TestRequestIsHedgedWhenBackendServerHangs guards against requests of 10 ms that wait until they are overdue,
// at 380 ms. They are sent one at a time, so that load balancing alone does not avoid the stalled backend server.
func TestRequestIsHedgedWhenBackendServerHangs(t *testing.T) {
	spec := lookup("")
	spec.Services[0].Detection = "careful"
	spec.Services[0].Deadline = 3 * time.Second
	f := start(t, spec)
	stallFirstBackend(t, f)
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
	const tolerated = 1 // one may be slow on a busy machine; without hedging two are
	if slow > tolerated {
		t.Fatalf("%d of %d requests received no response within %v", slow, requests, within)
	}
}

// answeredWithin sends an idempotent request and reports whether it succeeds in time.
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
