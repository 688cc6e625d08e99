package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/test/harness"
)

// heldBackend is a backend server whose requests run until they are released or cancelled.
type heldBackend struct {
	release   chan struct{}
	running   atomic.Int64
	runs      atomic.Int64
	cancelled atomic.Int64
}

func (h *heldBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h.runs.Add(1)
	h.running.Add(1)
	defer h.running.Add(-1)
	select {
	case <-h.release:
		_, _ = io.WriteString(w, r.URL.Path)
	case <-r.Context().Done():
		h.cancelled.Add(1)
	}
}

func (h *heldBackend) awaitRunning(t *testing.T, count int64) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); h.running.Load() != count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests run at the backend server, want %d", h.running.Load(), count)
		}
	}
}

// startHeld starts two daemons, with the settings, and a held backend server at the second. Requests of its route
// antraege are long.
func startHeld(t *testing.T, settings string) (*harness.Fleet, *heldBackend) {
	t.Helper()
	h := &heldBackend{release: make(chan struct{})}
	backend := httptest.NewServer(h)
	t.Cleanup(backend.Close)
	return start(t, harness.Spec{
		DataCentres: []string{"muenchen-nord", "rosenheim"},
		HostsEach:   1,
		Settings:    settings,
		Services: []harness.Service{
			{Name: "akten", Floor: 1, Servers: 1},
			{Name: "antraege", Floor: 1, Servers: 1, Addresses: []string{backend.Listener.Addr().String()}, Deadline: 15 * time.Second},
		},
	}), h
}

// ahead is a connection whose caller sends requests before earlier ones are answered.
type ahead struct {
	net.Conn
	reader *bufio.Reader
}

// sendAhead connects to the first daemon and sends the requests in one write: GET, or POST if the name starts with "post".
func sendAhead(t *testing.T, f *harness.Fleet, names ...string) *ahead {
	t.Helper()
	c, err := net.Dial("tcp", f.Daemons[0].CallersAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	var text strings.Builder
	for _, name := range names {
		method, body := "GET", ""
		if strings.HasPrefix(name, "post") {
			method, body = "POST", "abc"
		}
		_, _ = fmt.Fprintf(&text, "%s /antraege/%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", method, name, len(body), body)
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		t.Fatal(err)
	}
	return &ahead{Conn: c, reader: bufio.NewReader(c)}
}

// wantAnswers fails the test unless the next answers are those to the requests of these names. It returns the last one.
func (a *ahead) wantAnswers(t *testing.T, names ...string) *http.Response {
	t.Helper()
	var response *http.Response
	for _, name := range names {
		var err error
		if response, err = http.ReadResponse(a.reader, nil); err != nil {
			t.Fatalf("answer to %s: %v", name, err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || string(body) != "/antraege/"+name {
			t.Fatalf("got status %d, body %q, error %v; want the answer to %s", response.StatusCode, body, err, name)
		}
	}
	return response
}

const pipelinedSettings = "long-requests:\n  latency-target: 750ms\n  pipelined: 6\n"

// TestPipelinedRequestsRunConcurrently guards against requests on a real daemon that wait for the answers to those sent
// before, answers out of order, and a request that is not idempotent which runs beside others or twice.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	f, h := startHeld(t, pipelinedSettings)
	c := sendAhead(t, f, "0", "1", "2", "3", "4", "post", "5", "6")
	h.awaitRunning(t, 5)
	time.Sleep(100 * time.Millisecond)
	if n := h.runs.Load(); n != 5 {
		t.Fatalf("%d requests began, want the 5 before the POST", n)
	}
	close(h.release)
	c.wantAnswers(t, "0", "1", "2", "3", "4", "post", "5", "6")
	if n := h.runs.Load(); n != 8 {
		t.Fatalf("%d requests ran, want 8", n)
	}
	awaitMetric(t, f, "tidelift_callers_pipelined", 5) // four before the POST, one behind it
}

// awaitMetric waits until the first daemon reports the value.
func awaitMetric(t *testing.T, f *harness.Fleet, name string, want int) {
	t.Helper()
	line := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		_, page := get(t, "http://"+f.Daemons[0].OperatorsAddress()+"/metrics")
		for text := range strings.Lines(page) {
			if strings.HasPrefix(text, name+"{") {
				line = strings.TrimSpace(text)
			}
		}
		if strings.HasSuffix(line, fmt.Sprintf("} %d", want)) {
			return
		}
	}
	t.Fatalf("metric %s is %q, want %d", name, line, want)
}

// TestPipelinedRequestsEndWithTheConnection guards against requests that continue at a backend server after their caller
// has closed the connection.
func TestPipelinedRequestsEndWithTheConnection(t *testing.T) {
	const within = 500 * time.Millisecond
	f, h := startHeld(t, pipelinedSettings)
	c := sendAhead(t, f, "0", "1", "2", "3", "4", "5", "6", "7")
	h.awaitRunning(t, 6)
	_ = c.Close()
	closed := time.Now()
	h.awaitRunning(t, 0)
	if took := time.Since(closed); took > within {
		t.Fatalf("the requests ended %s after the close, want at most %s", took, within)
	}
	if h.runs.Load() != 6 || h.cancelled.Load() != 6 {
		t.Fatalf("%d requests ran and %d were cancelled, want 6", h.runs.Load(), h.cancelled.Load())
	}
	awaitMetric(t, f, "tidelift_callers_pipelined_discarded", 5)
}

// TestPlannedStopAnswersPipelinedRequests guards against losing requests in a planned stop that a daemon has started ahead.
func TestPlannedStopAnswersPipelinedRequests(t *testing.T) {
	f, h := startHeld(t, pipelinedSettings)
	c := sendAhead(t, f, "0", "1", "2", "3")
	h.awaitRunning(t, 4)
	if err := f.Daemons[0].Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond) // the daemon waits only for what is in flight by now
	close(h.release)
	c.wantAnswers(t, "0", "1", "2")
	if last := c.wantAnswers(t, "3"); !last.Close {
		t.Fatal("the last answer has no Connection: close")
	}
	if !f.Daemons[0].Wait(waitTimeout) {
		t.Fatal("the daemon has not ended")
	}
}

// TestPipelinedOffByDefault guards against a change where the settings do not ask for it.
func TestPipelinedOffByDefault(t *testing.T) {
	f, h := startHeld(t, "long-requests:\n  latency-target: 750ms\n")
	c := sendAhead(t, f, "0", "1", "2")
	h.awaitRunning(t, 1)
	time.Sleep(200 * time.Millisecond)
	if n := h.runs.Load(); n != 1 {
		t.Fatalf("%d requests began, want 1", n)
	}
	close(h.release)
	c.wantAnswers(t, "0", "1", "2")
}

// TestTruncatedAnswerEndsNoOthers guards against requests sent ahead that sound backend servers have answered, and that get
// no answer because one before them broke off in the middle of a long answer.
func TestTruncatedAnswerEndsNoOthers(t *testing.T) {
	const (
		connections = 20
		ahead       = 5
		size        = 120_000
		cutEvery    = 9
	)
	for _, framing := range []string{"length", "chunked"} {
		t.Run(framing, func(t *testing.T) {
			var count atomic.Int64
			f := startWithSettings(t, pipelinedSettings, func(w http.ResponseWriter, _ *http.Request) {
				if framing == "length" {
					w.Header().Set("Content-Length", fmt.Sprint(size))
				}
				if count.Add(1)%cutEvery == 0 {
					_, _ = io.WriteString(w, strings.Repeat("x", size*2/3))
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			})
			for range connections {
				names := make([]string, ahead)
				for n := range names {
					names[n] = fmt.Sprint(n)
				}
				c := sendAhead(t, f, names...)
				for _, name := range names {
					response, err := http.ReadResponse(c.reader, nil)
					if err != nil {
						t.Fatalf("answer to %s: %v", name, err)
					}
					body, err := io.ReadAll(response.Body)
					if err != nil || response.StatusCode == http.StatusOK && len(body) != size {
						t.Fatalf("answer to %s: status %d, %d bytes, %v", name, response.StatusCode, len(body), err)
					}
				}
			}
		})
	}
}
