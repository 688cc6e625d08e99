package integration

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/test/harness"
)

// TestBodiesStayWithinTheMemory guards against daemons that ignore limits.memory-mb: with 1 MB, all requests without a
// customer may hold 125,000 bytes, which is less than two bodies of 100,000 bytes take.
func TestBodiesStayWithinTheMemory(t *testing.T) {
	const size = 100_000
	var runs atomic.Int64
	f := startWithSettings(t, "limits: {memory-mb: 1}\n", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	})
	rest, sent := io.Pipe()
	first := make(chan *http.Response, 1)
	go func() {
		first <- put(t, f.URL(0, "antraege", "/first"), io.MultiReader(strings.NewReader("x"), rest), size)
	}()
	awaitBodyMemory(t, f, "65536")
	second := put(t, f.URL(0, "antraege", "/second"), strings.NewReader(strings.Repeat("x", size)), size)
	if second == nil {
		t.Fatal("the second upload got no answer")
	}
	if second.StatusCode != http.StatusServiceUnavailable || second.Header.Get(result.Header) != "2029 body-memory" || second.Header.Get("Retry-After") != "1" {
		t.Errorf("the second upload got %d, %v", second.StatusCode, second.Header)
	}
	if response, _ := get(t, f.URL(0, "antraege", "/x")); response.StatusCode != http.StatusNoContent {
		t.Errorf("a GET got %d", response.StatusCode)
	}
	_, _ = io.WriteString(sent, strings.Repeat("x", size-1))
	_ = sent.Close()
	if response := <-first; response == nil || response.StatusCode != http.StatusNoContent {
		t.Errorf("the first upload got %v", response)
	}
	if runs.Load() != 2 {
		t.Errorf("%d requests ran, want the first upload and the GET", runs.Load())
	}
	awaitBodyMemory(t, f, "0")
}

// put sends a body of that size and returns the answer.
func put(t *testing.T, url string, sent io.Reader, size int64) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, url, sent)
	if err != nil {
		t.Error(err)
		return nil
	}
	request.ContentLength = size
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return nil
	}
	_ = response.Body.Close()
	return response
}

// awaitBodyMemory waits until the first daemon's metrics show that much memory for bodies.
func awaitBodyMemory(t *testing.T, f *harness.Fleet, used string) {
	t.Helper()
	var page []byte
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + f.Daemons[0].OperatorsAddress() + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		page, _ = io.ReadAll(response.Body)
		_ = response.Body.Close()
		for line := range strings.Lines(string(page)) {
			if strings.HasPrefix(line, "tidelift_body_memory_used{") && strings.HasSuffix(strings.TrimSpace(line), "} "+used) {
				return
			}
		}
	}
	t.Fatalf("the gauge is not %s:\n%s", used, page)
}
