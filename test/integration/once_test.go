package integration

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/test/backendserver"
	"github.com/tideliftd/tidelift/test/harness"
)

// payments returns a service with a backend server at each of the first two daemons. Its tests send
// non-idempotent requests to the third daemon.
func payments() harness.Spec {
	return harness.Spec{
		DataCentres: []string{"rosenheim", "weilheim", "muenchen-nord"},
		HostsEach:   1,
		Services:    []harness.Service{{Name: "antraege", Floor: 1, Servers: 2, Deadline: 3 * time.Second}},
	}
}

// responses holds the response to the request of each key.
type responses struct {
	mu     sync.Mutex
	status map[string]int
	body   map[string]string
}

// sendPayments sends count payments concurrently through the daemon.
func sendPayments(f *harness.Fleet, daemon, count int, prefix string) *responses {
	result := &responses{status: make(map[string]int), body: make(map[string]string)}
	var wg sync.WaitGroup
	for n := range count {
		wg.Go(func() {
			key := fmt.Sprintf("%s-%d", prefix, n)
			status, body := sendPayment(f.URL(daemon, "antraege", "/fee"), key)
			result.mu.Lock()
			defer result.mu.Unlock()
			result.status[key], result.body[key] = status, body
		})
	}
	wg.Wait()
	return result
}

func sendPayment(url, key string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(key))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set(backendserver.HeaderKey, key)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// runsOf returns how often each key was run, by the ledgers of all backend servers.
func runsOf(t *testing.T, f *harness.Fleet) map[string]int {
	t.Helper()
	runs := make(map[string]int)
	for _, b := range f.Backends {
		ledger, err := b.Ledger()
		if err != nil {
			t.Fatal(err)
		}
		for key, n := range ledger.Runs {
			runs[key] += n
		}
	}
	return runs
}

// check compares the responses with the runs.
func (r *responses) check(t *testing.T, runs map[string]int) {
	t.Helper()
	for key, status := range r.status {
		switch n := runs[key]; {
		case n > 1:
			t.Errorf("%s ran %d times", key, n)
		case status == http.StatusOK && n != 1:
			t.Errorf("%s succeeded and ran %d times, want 1", key, n)
		case strings.Contains(r.body[key], `"ran":"no"`) && n != 0:
			t.Errorf("%s was reported as not run but ran: %s", key, r.body[key])
		}
	}
}

// TestFrozenDaemonRunsNoExpiredRequest guards against a daemon that is paused for longer than the deadline and the
// lifetime of a reservation, and on resumption runs requests that waited in its sockets.
func TestFrozenDaemonRunsNoExpiredRequest(t *testing.T) {
	f := start(t, payments())
	before := sendPayments(f, 2, 20, "before")
	frozen := f.Backends[0].Host
	if err := frozen.Suspend(); err != nil {
		t.Fatal(err)
	}
	during := sendPayments(f, 2, 20, "during")
	if err := frozen.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second) // long enough for an expired request to be run
	runs := runsOf(t, f)
	before.check(t, runs)
	during.check(t, runs)
	answered := 0
	for key, status := range during.status {
		if status == http.StatusOK {
			answered++
		} else if runs[key] != 0 {
			t.Errorf("%s ran although its caller received status %d, body %s", key, status, during.body[key])
		}
	}
	if answered < len(during.status)/2 {
		t.Fatalf("%d of %d payments succeeded at the other backend server, want at least half: %v", answered, len(during.status), during.body)
	}
}

// TestResponsesAreCorrectWhenDaemonIsKilled guards against wrong responses for payments that run while their backend
// server's daemon is killed.
func TestResponsesAreCorrectWhenDaemonIsKilled(t *testing.T) {
	f := start(t, payments())
	done := make(chan *responses, 1)
	go func() { done <- sendPayments(f, 2, 200, "killed") }()
	time.Sleep(20 * time.Millisecond)
	f.Backends[0].Host.Kill()
	result := <-done
	result.check(t, runsOf(t, f))
}

// TestNotRunCoversEveryAttempt guards against reporting a request as not run because its last attempt was refused,
// although an earlier attempt ran it and broke the connection.
func TestNotRunCoversEveryAttempt(t *testing.T) {
	var runs atomic.Int64
	breaking := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		if socket, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = socket.Close()
		}
	}))
	t.Cleanup(breaking.Close)
	f := start(t, harness.Spec{
		DataCentres: []string{"rosenheim"},
		HostsEach:   1,
		Services: []harness.Service{{
			Name: "akten", Floor: 1, Servers: 2, Addresses: []string{breaking.Listener.Addr().String(), "127.0.0.1:1"},
		}},
	})
	for range 8 {
		before := runs.Load()
		response, body := get(t, f.URL(0, "akten", "/x"))
		if ran := runs.Load() > before; ran && !strings.Contains(body, `"ran":"unknown"`) {
			t.Fatalf("request ran, and its caller received status %d, body %s; want ran unknown", response.StatusCode, body)
		}
		time.Sleep(600 * time.Millisecond) // until a backend server that refused a connection is tried again
	}
}
