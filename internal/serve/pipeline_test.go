package serve

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/framing"
	"github.com/tideliftd/tidelift/internal/guard"
	"github.com/tideliftd/tidelift/internal/pipeline"
	"github.com/tideliftd/tidelift/internal/settings"
)

// waitTimeout bounds waits for conditions that a passing test meets much sooner.
const waitTimeout = 10 * time.Second

// held is a handler for requests that run until release is closed or they are cancelled.
type held struct {
	release   chan struct{}
	running   atomic.Int64
	runs      atomic.Int64
	cancelled atomic.Int64
}

func newHeld() *held { return &held{release: make(chan struct{})} }

func (h *held) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

func (h *held) awaitRunning(t *testing.T, count int64) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); h.running.Load() != count; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests run, want %d", h.running.Load(), count)
		}
	}
}

// startPipelined serves the handler on the callers' address, which it returns, with up to limit GET requests of a
// connection at once.
func startPipelined(t *testing.T, limit int, handler http.HandlerFunc) (*Servers, string) {
	t.Helper()
	return startLimited(t, limit, settings.Limits{HeaderTimeout: waitTimeout, IdleTimeout: waitTimeout, HeaderBytes: settings.DefaultMaxHeader}, handler)
}

// startLimited is like startPipelined, with other limits on callers.
func startLimited(t *testing.T, limit int, limits settings.Limits, handler http.HandlerFunc) (*Servers, string) {
	t.Helper()
	return startBounded(t, limit, limits, ample, handler)
}

// ample are bounds that no test meets.
var ample = guard.Config{Connections: 1000, Memory: 1 << 30}

// startBounded is like startLimited, with other bounds on what callers take together.
func startBounded(t *testing.T, limit int, limits settings.Limits, callers guard.Config, handler http.HandlerFunc) (*Servers, string) {
	t.Helper()
	none := http.NotFoundHandler()
	servers, cleanUp, err := New(Config{
		Listen:      settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0", Control: "127.0.0.1:0"},
		Limits:      limits,
		Callers:     handler,
		Peers:       none,
		Operators:   none,
		Control:     func(context.Context, control.Method, json.RawMessage) (any, error) { return nil, nil },
		Pipelined:   limit,
		MayPipeline: func(r *http.Request) bool { return r.Method == http.MethodGet },
		Scope:       tally.NoopScope,
		Bounds:      Bounds{Callers: callers, Peers: ample, Local: ample},
		DaemonsOnly: func(l net.Listener) net.Listener { return l },
		Logger:      slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanUp)
	return servers, servers.public[0].Addr().String()
}

// sendAhead connects and sends that many requests in one write.
func sendAhead(t *testing.T, address string, count int) (net.Conn, *bufio.Reader) {
	t.Helper()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	_ = client.SetDeadline(time.Now().Add(waitTimeout))
	var text strings.Builder
	for number := range count {
		_, _ = fmt.Fprintf(&text, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", number)
	}
	if _, err := io.WriteString(client, text.String()); err != nil {
		t.Fatal(err)
	}
	return client, bufio.NewReader(client)
}

// wantAnswer fails the test unless the next answer is that to the request of that number.
func wantAnswer(t *testing.T, reader *bufio.Reader, number int) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("answer %d: %v", number, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != fmt.Sprintf("/%d", number) {
		t.Fatalf("got answer %q, %v, want that to request %d", body, err, number)
	}
	return response
}

// TestPipelinedOffByDefault guards against a change for connections where the settings do not ask for it: their requests
// run one at a time, and the connections are not wrapped.
func TestPipelinedOffByDefault(t *testing.T) {
	for _, limit := range []int{0, 1} {
		h := newHeld()
		var wrapped atomic.Bool
		servers, address := startPipelined(t, limit, func(w http.ResponseWriter, r *http.Request) {
			if pipeline.ConnOf(r.Context()) != nil {
				wrapped.Store(true)
			}
			h.ServeHTTP(w, r)
		})
		_, reader := sendAhead(t, address, 3)
		h.awaitRunning(t, 1)
		time.Sleep(50 * time.Millisecond)
		if n := h.runs.Load(); n != 1 || wrapped.Load() || servers.pipeline != nil {
			t.Fatalf("limit %d: %d requests began, wrapped %t", limit, n, wrapped.Load())
		}
		close(h.release)
		for number := range 3 {
			wantAnswer(t, reader, number)
		}
	}
}

// TestStopAnswersPipelined guards against losing requests that were started ahead before a planned stop, in any of its
// phases, and against starting others.
func TestStopAnswersPipelined(t *testing.T) {
	phases := map[string]func(*testing.T, *Servers){
		"keep-alives disabled": func(_ *testing.T, s *Servers) { s.DisableKeepAlives() },
		"refusing": func(_ *testing.T, s *Servers) {
			s.DisableKeepAlives()
			s.Refuse()
			s.CloseUnused()
		},
		"stopping": func(t *testing.T, s *Servers) {
			s.DisableKeepAlives()
			s.Refuse()
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				if err := s.Stop(ctx); err != nil {
					t.Error(err)
				}
			}()
			t.Cleanup(func() { <-stopped })
			time.Sleep(100 * time.Millisecond) // so that Stop waits
		},
	}
	for name, begin := range phases {
		t.Run(name, func(t *testing.T) {
			h := newHeld()
			servers, address := startPipelined(t, 4, h.ServeHTTP)
			client, reader := sendAhead(t, address, 4)
			h.awaitRunning(t, 4)
			begin(t, servers)
			if _, err := io.WriteString(client, "GET /4 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			close(h.release)
			for number := range 4 {
				response := wantAnswer(t, reader, number)
				if last := number == 3; response.Close != last {
					t.Fatalf("answer %d has Connection: close %t", number, response.Close)
				}
			}
			if rest, err := io.ReadAll(reader); len(rest) > 0 || err != nil {
				t.Fatalf("got %q, %v after the last answer", rest, err)
			}
			if n := h.runs.Load(); n != 4 {
				t.Fatalf("%d requests ran, want 4", n)
			}
		})
	}
}

// TestNoFalse408 guards against a response that claims that no request was run on a connection whose requests were started
// ahead. Here the server shuts down without waiting for them, so that net/http closes the connection after one answer.
func TestNoFalse408(t *testing.T) {
	h := newHeld()
	servers, address := startPipelined(t, 4, h.ServeHTTP)
	_, reader := sendAhead(t, address, 4)
	h.awaitRunning(t, 4)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = servers.callers.Shutdown(t.Context())
	}()
	time.Sleep(20 * time.Millisecond) // so that the server is shutting down
	close(h.release)
	wantAnswer(t, reader, 0)
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Fatalf("got %q after the last answer", rest)
	}
	<-stopped
}

// TestPipelinedAmbiguousFraming guards against request smuggling by a request behind others that were started ahead.
func TestPipelinedAmbiguousFraming(t *testing.T) {
	const (
		plain = "GET /plain HTTP/1.1\r\nHost: a\r\n\r\n"
		both  = "POST /both HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	)
	for _, before := range []string{"", plain, plain + plain + plain} {
		_, address := startPipelined(t, 4, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, r.URL.Path, framing.Ambiguous(r))
		})
		client, reader := sendAhead(t, address, 0)
		_, _ = io.WriteString(client, before+both)
		for number := 0; number <= strings.Count(before, plain); number++ {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			want := "/plainfalse"
			if number == strings.Count(before, plain) {
				want = "/bothtrue"
			}
			if string(body) != want {
				t.Fatalf("answer %d is %q, want %q", number, body, want)
			}
		}
	}
}

// TestPipelinedUnusedIsRefused guards against running requests that arrive while an unused connection is closed.
func TestPipelinedUnusedIsRefused(t *testing.T) {
	h := newHeld()
	servers, address := startPipelined(t, 4, h.ServeHTTP)
	client, reader := sendAhead(t, address, 0)
	awaitUnused(t, servers)
	servers.CloseUnused()
	_, _ = io.WriteString(client, strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 3))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusRequestTimeout || h.runs.Load() != 0 {
		t.Fatalf("status %d, %d requests ran", response.StatusCode, h.runs.Load())
	}
}

// TestPipelinedLimits guards against limits on callers that do not hold any more: the time for a head, the time that a
// connection may be idle, and the size of a head, each also behind requests that were started ahead.
func TestPipelinedLimits(t *testing.T) {
	const (
		headerTimeout = 200 * time.Millisecond
		idleTimeout   = 600 * time.Millisecond
		tolerance     = 2 * time.Second // of a busy machine
		plain         = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	)
	tests := []struct {
		name, send   string
		status       int // of the answer after the handlers'
		after, until time.Duration
	}{
		{"slow head", "GET / HTTP/1.1\r\nHos", http.StatusBadRequest, headerTimeout, idleTimeout},
		{"idle", "", http.StatusRequestTimeout, idleTimeout, tolerance},
		{"large head", "GET / HTTP/1.1\r\nHost: a\r\nX-Large: " + strings.Repeat("x", 80<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, 0, tolerance},
	}
	for _, limit := range []int{0, 4} {
		for _, before := range []int{1, 3} {
			for _, test := range tests {
				t.Run(fmt.Sprintf("limit %d, %s behind %d", limit, test.name, before), func(t *testing.T) {
					_, address := startLimited(t, limit, settings.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, HeaderBytes: 1 << 10},
						func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })
					client, reader := sendAhead(t, address, 0)
					_, _ = io.WriteString(client, strings.Repeat(plain, before)+test.send)
					for range before {
						response, err := http.ReadResponse(reader, nil)
						if err != nil {
							t.Fatal(err)
						}
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
					answered := time.Now()
					status := 0
					if response, err := http.ReadResponse(reader, nil); err == nil {
						status = response.StatusCode
						_ = response.Body.Close()
					}
					took := time.Since(answered)
					if status != test.status || took < test.after-100*time.Millisecond || took > test.until {
						t.Fatalf("status %d after %s, want %d between %s and %s", status, took, test.status, test.after, test.until)
					}
				})
			}
		}
	}
}

// TestPipelinedRequestDuringCloseIsRefused guards against a request that runs and gets no response because the daemon
// closes its keep-alive connection while it is in transit, before net/http has finished the answer before it.
func TestPipelinedRequestDuringCloseIsRefused(t *testing.T) {
	checkRequestsDuringClose(t, func(t *testing.T, handler http.HandlerFunc) (*Servers, string) {
		return startPipelined(t, 8, handler)
	})
}
