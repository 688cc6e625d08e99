package serve

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
)

// TestUnreadBodyKeepsItsConnection guards against requests that get no answer behind one whose body its handler has not read, and
// against a connection that is closed although the whole body has arrived.
func TestUnreadBodyKeepsItsConnection(t *testing.T) {
	const (
		requests = 200
		size     = 2000
	)
	_, address := startPipelined(t, 0, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	opened := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			opened++
		}
	}}
	for number := range requests {
		r, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodPost, "http://"+address+"/", strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(r)
		if err != nil {
			t.Fatalf("request %d: %v", number, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusNotFound {
			t.Fatalf("request %d got %d", number, response.StatusCode)
		}
	}
	if opened > requests/10 {
		t.Errorf("%d connections for %d requests", opened, requests)
	}
}
