package integration

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/test/harness"
)

// waitTimeout bounds waits for conditions that a passing test meets much sooner.
const waitTimeout = 20 * time.Second

// startWithHandler starts two daemons and a backend server with the handler at the second.
// Requests to the first daemon take both hops.
func startWithHandler(t *testing.T, handler http.HandlerFunc) *harness.Fleet {
	t.Helper()
	return startWithSettings(t, "", handler)
}

// startWithSettings is like startWithHandler, with additional settings for both daemons.
func startWithSettings(t *testing.T, settings string, handler http.HandlerFunc) *harness.Fleet {
	t.Helper()
	backend := httptest.NewServer(handler)
	t.Cleanup(backend.Close)
	return start(t, harness.Spec{
		DataCentres: []string{"muenchen-nord", "rosenheim"},
		HostsEach:   1,
		Settings:    settings,
		Services: []harness.Service{
			{Name: "akten", Floor: 1, Servers: 1},
			{Name: "antraege", Floor: 1, Servers: 1, Addresses: []string{backend.Listener.Addr().String()}, MaxBody: 1 << 20, Deadline: 5 * time.Second},
		},
	})
}

func TestHTTPPassesThrough(t *testing.T) {
	var zipped bytes.Buffer
	writer := gzip.NewWriter(&zipped)
	_, _ = writer.Write([]byte("squeezed"))
	_ = writer.Close()
	f := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/antraege/empty":
			w.WriteHeader(http.StatusNoContent)
		case "/antraege/same":
			w.Header().Set("ETag", `"v1"`)
			w.WriteHeader(http.StatusNotModified)
		case "/antraege/gzip":
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write(zipped.Bytes())
		case "/antraege/trailer":
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.Copy(w, r.Body)
			w.Header().Set("X-Sum", r.Trailer.Get("X-Request-Sum"))
		case "/antraege/headers":
			w.Header().Set("Connection", "X-Private")
			w.Header().Set("X-Private", "not for the caller")
			w.Header().Set("Tidelift-Result", "2004 queue-full")
			w.Header().Set("X-Seen", fmt.Sprintf("%s|%s|%s|%s|%s", r.Header.Get("X-Hop"), r.Header.Get("X-Forwarded-For"),
				r.Header.Get("X-Forwarded-Host"), r.Header.Get("Tidelift-Reservation"), r.UserAgent()))
		case "/antraege/sp ace/ü":
			_, _ = io.WriteString(w, r.RequestURI)
		default:
			w.Header().Set("X-Method", r.Method)
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		}
	})
	t.Run("statuses without a body", func(t *testing.T) {
		if response, body := get(t, f.URL(0, "antraege", "/empty")); response.StatusCode != http.StatusNoContent || body != "" {
			t.Fatalf("got status %d, body %q; want 204 without a body", response.StatusCode, body)
		}
		response, _ := get(t, f.URL(0, "antraege", "/same"))
		if response.StatusCode != http.StatusNotModified || response.Header.Get("ETag") != `"v1"` {
			t.Fatalf("got status %d, headers %v; want 304 with ETag", response.StatusCode, response.Header)
		}
	})
	t.Run("methods", func(t *testing.T) {
		for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND"} {
			response, _ := do(t, method, f.URL(0, "antraege", "/x"), "")
			if response.Header.Get("X-Method") != method {
				t.Fatalf("method %s reached the backend server as %q", method, response.Header.Get("X-Method"))
			}
		}
	})
	t.Run("gzip untouched", func(t *testing.T) {
		response, body := get(t, f.URL(0, "antraege", "/gzip"), "Accept-Encoding", "gzip")
		if response.Header.Get("Content-Encoding") != "gzip" || body != zipped.String() {
			t.Fatalf("gzip response was changed: headers %v, body %q", response.Header, body)
		}
	})
	t.Run("trailers both ways", func(t *testing.T) {
		request, err := http.NewRequest(http.MethodPost, f.URL(0, "antraege", "/trailer"), io.MultiReader(strings.NewReader("abc")))
		if err != nil {
			t.Fatal(err)
		}
		request.Trailer = http.Header{"X-Request-Sum": {"42"}}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != "abc" || response.Trailer.Get("X-Sum") != "42" {
			t.Fatalf("got body %q, trailers %v, error %v", body, response.Trailer, err)
		}
	})
	t.Run("headers of one connection and of a hop stay", func(t *testing.T) {
		response, _ := get(t, f.URL(0, "antraege", "/headers"), "Connection", "X-Hop", "X-Hop", "secret",
			"Tidelift-Reservation", "forged", "User-Agent", "")
		if got := response.Header.Get("X-Private") + response.Header.Get("Tidelift-Result"); got != "" {
			t.Fatalf("caller received internal headers: %q", got)
		}
		if got := response.Header.Get("X-Seen"); got != "|127.0.0.1|"+f.Daemons[0].CallersAddress()+"||" {
			t.Fatalf("backend server received headers %q", got)
		}
	})
	t.Run("path as it was written", func(t *testing.T) {
		_, body := get(t, f.URL(0, "antraege", "/sp%20ace/%C3%BC?a=1&b=%2F"))
		if body != "/antraege/sp%20ace/%C3%BC?a=1&b=%2F" {
			t.Fatalf("backend server received path %q", body)
		}
	})
	t.Run("a body of a megabyte", func(t *testing.T) {
		sent := strings.Repeat("0123456789abcdef", 1<<16)
		if _, body := do(t, http.MethodPost, f.URL(0, "antraege", "/big"), sent); body != sent {
			t.Fatalf("received %d bytes, want %d", len(body), len(sent))
		}
	})
}

func TestStreamsBothWays(t *testing.T) {
	f := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.EnableFullDuplex()
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			_, _ = fmt.Fprintln(w, "echo", lines.Text())
			_ = controller.Flush()
		}
	})
	reader, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, f.URL(0, "antraege", "/echo"), reader)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.WriteString(writer, "one\n") }()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	answers := bufio.NewReader(response.Body)
	for _, line := range []string{"one", "two", "three"} {
		if line != "one" {
			_, _ = io.WriteString(writer, line+"\n")
		}
		if answer, err := answers.ReadString('\n'); err != nil || answer != "echo "+line+"\n" {
			t.Fatalf("got line %q, error %v; want an echo of the line sent", answer, err)
		}
	}
	_ = writer.Close()
}

func TestExpectContinueReachesBackendServer(t *testing.T) {
	f := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Welcome") == "" {
			w.WriteHeader(http.StatusExpectationFailed)
			return
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: waitTimeout}}
	for welcome, want := range map[string]int{"": http.StatusExpectationFailed, "yes": http.StatusOK} {
		var taken atomic.Bool
		body := io.MultiReader(readerFunc(func([]byte) (int, error) {
			taken.Store(true)
			return 0, io.EOF
		}))
		request, err := http.NewRequest(http.MethodPost, f.URL(0, "antraege", "/x"), body)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Expect", "100-continue")
		if welcome != "" {
			request.Header.Set("X-Welcome", welcome)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != want || taken.Load() != (want == http.StatusOK) {
			t.Fatalf("welcome %q: got status %d, body sent %t", welcome, response.StatusCode, taken.Load())
		}
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

func TestCancelReachesTheBackendServer(t *testing.T) {
	arrived, cancelled := make(chan struct{}), make(chan struct{})
	f := startWithHandler(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.URL(0, "antraege", "/x"), nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-arrived
		cancel()
	}()
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
		t.Fatal("cancelled request received a response")
	}
	select {
	case <-cancelled:
	case <-time.After(waitTimeout):
		t.Fatal("cancellation did not reach the backend server")
	}
}

func TestDeadlineReachesBackendServer(t *testing.T) {
	received := make(chan string, 1)
	f := startWithHandler(t, func(_ http.ResponseWriter, r *http.Request) {
		received <- r.Header.Get("X-Request-Timeout-Ms")
		<-r.Context().Done()
	})
	response, body := get(t, f.URL(0, "antraege", "/x"), "X-Request-Timeout-Ms", "1500")
	if response.StatusCode != http.StatusGatewayTimeout || !strings.Contains(body, `"code":3001`) {
		t.Fatalf("got status %d, body %s; want 504 with code 3001", response.StatusCode, body)
	}
	forwarded := <-received
	if got, err := strconv.Atoi(forwarded); err != nil || got < 1 || got > 1500 {
		t.Fatalf("backend server received timeout %q, want 1 to 1500 ms", forwarded)
	}
}

// sendRaw sends the text on a new connection and returns the response's status and body.
func sendRaw(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, _ := io.ReadAll(answer.Body)
	return fmt.Sprintf("%d %s", answer.StatusCode, body)
}

func TestInvalidRequestsReachNoBackendServer(t *testing.T) {
	var reached atomic.Int64
	f := startWithHandler(t, func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	head := " /antraege/x HTTP/1.1\r\nHost: a\r\n"
	tests := []struct{ name, send, want string }{
		{"both framings", "POST" + head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", `400 {"code":1003`},
		{"two lengths", "POST" + head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "400 "},
		{"upgrade", "GET" + head + "Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n", `501 {"code":1007`},
		{"HTTP/1.0", "GET /antraege/x HTTP/1.0\r\nHost: a\r\n\r\n", `505 {"code":1008`},
		{"large headers", "GET" + head + "X-Large: " + strings.Repeat("a", 40<<10) + "\r\n\r\n", `431 {"code":1004`},
		{"no route", "GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n", `404 {"code":1002`},
		{"bad deadline", "GET" + head + "X-Request-Timeout-Ms: soon\r\n\r\n", `400 {"code":1006`},
		{"large body", "POST" + head + "Content-Length: 1048577\r\n\r\n", `413 {"code":1005`},
		{"not HTTP", "hello\r\n\r\n", "400 "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := sendRaw(t, f.Daemons[0].CallersAddress(), test.send); !strings.HasPrefix(got, test.want) {
				t.Fatalf("got response %.200s", got)
			}
		})
	}
	if n := reached.Load(); n != 0 {
		t.Fatalf("%d invalid requests reached the backend server", n)
	}
}

func TestSlowRequestBodyTimesOut(t *testing.T) {
	f := startWithHandler(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	began := time.Now()
	answer := sendRaw(t, f.Daemons[0].CallersAddress(), "POST /antraege/x HTTP/1.1\r\nHost: a\r\nX-Request-Timeout-Ms: 300\r\nContent-Length: 10\r\n\r\nabc")
	if !strings.HasPrefix(answer, "50") || time.Since(began) > waitTimeout {
		t.Fatalf("after %s: got response %q, want a 50x status", time.Since(began), answer)
	}
}

// TestTruncatedResponseIsNotPassedOnAsComplete guards against truncated responses, of each framing, that reach the caller as complete.
func TestTruncatedResponseIsNotPassedOnAsComplete(t *testing.T) {
	f := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		socket, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = socket.Close() }()
		switch r.URL.Path {
		case "/antraege/length":
			_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
		case "/antraege/chunks":
			_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		case "/antraege/close":
			_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc")
		}
		_ = buffer.Flush()
	})
	for _, path := range []string{"/length", "/chunks", "/close"} {
		request, err := http.NewRequest(http.MethodPost, f.URL(0, "antraege", path), nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue // failed before the response headers, so the caller sees the error
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			t.Fatalf("%s: truncated response %q was passed on as complete", path, body)
		}
	}
}

// TestNothingIsSentTwice guards against the automatic retries of net/http, for requests whose reused
// connection is closed without a response.
func TestNothingIsSentTwice(t *testing.T) {
	var runs atomic.Int64
	f := startWithHandler(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1)%2 == 1 {
			return // so that the next request uses a kept connection
		}
		socket, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_ = socket.Close()
	})
	tests := []struct{ name, method, body, key string }{
		{"key without a body", http.MethodPost, "", "k1"},
		{"key with a body", http.MethodPost, "abc", "k2"},
		{"no key", http.MethodPost, "", ""},
		{"delete", http.MethodDelete, "", "k3"},
	}
	url := f.URL(0, "antraege", "/x")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := []string{"X-None", ""}
			if test.key != "" {
				header = []string{"Idempotency-Key", test.key}
			}
			if response, _ := do(t, test.method, url, test.body, header...); response.StatusCode != http.StatusOK {
				t.Fatalf("first request: got status %d, want 200", response.StatusCode)
			}
			before := runs.Load()
			response, body := do(t, test.method, url, test.body, header...)
			if !strings.Contains(body, `"ran":"unknown"`) {
				t.Fatalf("second request: got status %d, body %s; want ran unknown", response.StatusCode, body)
			}
			if n := runs.Load() - before; n != 1 {
				t.Fatalf("request ran %d times, want 1", n)
			}
		})
	}
}

// TestRefusalDoesNotWaitForTheBody guards against a refusal that a caller gets only once it has sent the body of its request.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	f := startWithHandler(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	d := f.Daemons[0]
	for _, test := range []struct{ name, address, head, want string }{
		{"no route", d.CallersAddress(), "POST /nowhere HTTP/1.1\r\nHost: a\r\n", "404"},
		{"an invalid deadline", d.CallersAddress(), "POST /antraege/x HTTP/1.1\r\nHost: a\r\nX-Request-Timeout-Ms: soon\r\n", "400"},
		{"readiness", d.ReadyAddress(), "GET /ready HTTP/1.1\r\nHost: a\r\n", "200"},
	} {
		for framing, body := range map[string]string{"a length": "Content-Length: 1000\r\n\r\nx", "chunks": "Transfer-Encoding: chunked\r\n\r\n5\r\nx"} {
			t.Run(test.name+" with "+framing, func(t *testing.T) {
				conn, err := net.Dial("tcp", test.address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(waitTimeout / 4))
				_, _ = io.WriteString(conn, test.head+body)
				line, err := bufio.NewReader(conn).ReadString('\n')
				if !strings.HasPrefix(line, "HTTP/1.1 "+test.want+" ") {
					t.Errorf("got %q, %v; want %s", line, err, test.want)
				}
			})
		}
	}
}
