package pipeline_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/pipeline"
)

// waitTimeout bounds waits for conditions that a passing test meets much sooner.
const waitTimeout = 10 * time.Second

// closeLimit is the time within which a caller's close ends its requests.
const closeLimit = 500 * time.Millisecond

// server is a server whose callers' requests are pipelined.
type server struct {
	address  string
	pipeline *pipeline.Pipeline
	scope    tally.TestScope
	log      *lockedBuffer
}

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// serve starts a server that serves up to limit requests of a connection concurrently; 0 serves without a pipeline.
// GET requests to paths below /long may be started ahead.
func serve(t testing.TB, limit int, handler http.HandlerFunc) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: listener.Addr().String(), scope: tally.NewTestScope("", nil), log: &lockedBuffer{}}
	errorLog := log.New(s.log, "", 0)
	httpServer := &http.Server{Handler: handler, ErrorLog: errorLog, MaxHeaderBytes: 64 << 10, ReadHeaderTimeout: waitTimeout}
	if limit > 0 {
		s.pipeline = pipeline.New(pipeline.Config{
			Limit: limit,
			MayStart: func(r *http.Request) bool {
				return r.Method != http.MethodPost && strings.HasPrefix(r.URL.Path, "/long")
			},
			Handler:  handler,
			ErrorLog: errorLog,
			Scope:    s.scope,
		})
		listener = s.pipeline.Listen(listener)
		httpServer.Handler = s.pipeline
		httpServer.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return pipeline.ConnContext(ctx, pipeline.From(c))
		}
		httpServer.ConnState = func(c net.Conn, state http.ConnState) { pipeline.ConnState(pipeline.From(c), state) }
	}
	go func() { _ = httpServer.Serve(listener) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	return s
}

// counter returns the value of a counter.
func (s *server) counter(name string) int64 {
	for _, counter := range s.scope.Snapshot().Counters() {
		if counter.Name() == name {
			return counter.Value()
		}
	}
	return 0
}

// client is a caller's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t testing.TB, s *server) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

func (c *client) send(t testing.TB, texts ...string) {
	t.Helper()
	if _, err := io.WriteString(c, strings.Join(texts, "")); err != nil {
		t.Fatal(err)
	}
}

// receive reads an answer, and returns its body.
func (c *client) receive(t testing.TB) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// wantAnswers fails the test unless the next answers have these bodies.
func (c *client) wantAnswers(t testing.TB, bodies ...string) {
	t.Helper()
	for _, want := range bodies {
		if _, got := c.receive(t); got != want {
			t.Fatalf("got answer %.100q, want %.100q", got, want)
		}
	}
}

// wantEnd fails the test unless the connection ends without a further answer.
func (c *client) wantEnd(t testing.TB) {
	t.Helper()
	if rest, _ := io.ReadAll(c.reader); len(rest) > 0 {
		t.Fatalf("got %.200q after the last answer", rest)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func gets(from, to int) string {
	var b strings.Builder
	for number := from; number < to; number++ {
		b.WriteString(get("/long/" + strconv.Itoa(number)))
	}
	return b.String()
}

// echoPath answers with the request's path.
func echoPath(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }

// await waits until the condition holds.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not met within %s", what, waitTimeout)
		}
	}
}

// gate is a handler that counts the requests that run, and answers them once it is open or they are cancelled.
type gate struct {
	open      chan struct{}
	running   atomic.Int64
	runs      atomic.Int64
	cancelled atomic.Int64
}

func newGate() *gate { return &gate{open: make(chan struct{})} }

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.runs.Add(1)
	g.running.Add(1)
	defer g.running.Add(-1)
	select {
	case <-g.open:
		echoPath(w, r)
	case <-r.Context().Done():
		g.cancelled.Add(1)
	}
}

func (g *gate) awaitRunning(t testing.TB, count int64) {
	t.Helper()
	await(t, fmt.Sprintf("%d requests run, want %d", g.running.Load(), count), func() bool { return g.running.Load() == count })
}

// TestRunsConcurrently guards against requests that wait for the answer to those before them, and against more than the
// limit at once.
func TestRunsConcurrently(t *testing.T) {
	g := newGate()
	s := serve(t, 6, g.ServeHTTP)
	c := dial(t, s)
	c.send(t, gets(0, 9))
	g.awaitRunning(t, 6)
	time.Sleep(20 * time.Millisecond)
	if n := g.runs.Load(); n != 6 {
		t.Fatalf("%d requests began, want 6", n)
	}
	close(g.open)
	for number := range 9 {
		c.wantAnswers(t, fmt.Sprintf("/long/%d", number))
	}
	if started, discarded := s.counter("callers_pipelined"), s.counter("callers_pipelined_discarded"); started != 8 || discarded != 0 {
		t.Fatalf("%d requests were started ahead and %d discarded, want 8 and 0", started, discarded)
	}
	if n := g.runs.Load(); n != 9 {
		t.Fatalf("%d requests ran, want 9", n)
	}
}

// TestSentLaterRunsConcurrently guards against requests that are seen only if they arrive together with the first.
func TestSentLaterRunsConcurrently(t *testing.T) {
	g := newGate()
	c := dial(t, serve(t, 4, g.ServeHTTP))
	all := gets(0, 3)
	for at := range all { // byte by byte
		c.send(t, all[at:at+1])
	}
	g.awaitRunning(t, 3)
	close(g.open)
	c.wantAnswers(t, "/long/0", "/long/1", "/long/2")
	c.send(t, get("/long/3")) // one at a time on the same connection
	c.wantAnswers(t, "/long/3")
	c.send(t, gets(4, 6))
	c.wantAnswers(t, "/long/4", "/long/5")
}

// TestOneAtATime guards against starting ahead the requests of a caller that waits for each answer: it may have received
// the answer before the handler has returned, or before net/http has finished it.
func TestOneAtATime(t *testing.T) {
	const size = 30_000
	s := serve(t, 8, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long/large" {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(make([]byte, size))
			time.Sleep(time.Millisecond)
			return
		}
		echoPath(w, r)
	})
	var callers sync.WaitGroup
	for range 8 {
		c := dial(t, s)
		callers.Go(func() {
			for range 200 {
				c.send(t, get("/long/x"))
				c.wantAnswers(t, "/long/x")
				c.send(t, get("/long/large"))
				if _, body := c.receive(t); len(body) != size {
					t.Errorf("got %d bytes", len(body))
				}
			}
		})
	}
	callers.Wait()
	if n := s.counter("callers_pipelined"); n != 0 {
		t.Fatalf("%d requests were started ahead", n)
	}
}

// TestOrder guards against answers that are out of order, mixed up or incomplete, for any delays and sizes.
func TestOrder(t *testing.T) {
	s := serve(t, 6, func(w http.ResponseWriter, r *http.Request) {
		delay, _ := strconv.Atoi(r.URL.Query().Get("delay"))
		size, _ := strconv.Atoi(r.URL.Query().Get("size"))
		time.Sleep(time.Duration(delay) * time.Microsecond)
		if r.URL.Query().Has("length") {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		w.Header().Set("X-Path", r.URL.Path)
		fill := strings.Repeat(strings.TrimPrefix(r.URL.Path, "/long/"), size)[:size]
		half := size / 2
		_, _ = io.WriteString(w, fill[:half])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Duration(delay) * time.Microsecond)
		_, _ = io.WriteString(w, fill[half:])
	})
	rapid.Check(t, func(r *rapid.T) {
		c := dial(t, s)
		defer func() { _ = c.Close() }()
		count := rapid.IntRange(1, 20).Draw(r, "requests")
		sizes := make([]int, count)
		for number := range count {
			sizes[number] = rapid.SampledFrom([]int{0, 1, 100, 2048, 5000, 30000}).Draw(r, "size")
			delay := rapid.IntRange(0, 2000).Draw(r, "delay")
			length := rapid.SampledFrom([]string{"", "&length=1"}).Draw(r, "length")
			c.send(t, get(fmt.Sprintf("/long/%d?size=%d&delay=%d%s", number, sizes[number], delay, length)))
		}
		for number, size := range sizes {
			response, body := c.receive(t)
			want := strings.Repeat(strconv.Itoa(number), size)[:size]
			if path := response.Header.Get("X-Path"); path != fmt.Sprintf("/long/%d", number) || body != want {
				r.Fatalf("answer %d is that to %q, with a body of %d bytes, want %d", number, path, len(body), size)
			}
		}
	})
}

// TestBarrier guards against starting a request that must not run twice or beside others, or what follows it, before it
// is answered, and against running it more than once.
func TestBarrier(t *testing.T) {
	barriers := map[string]string{
		"not idempotent": "POST /long/barrier HTTP/1.1\r\nHost: a\r\n\r\n",
		"body":           "PUT /long/barrier HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"chunked":        "PUT /long/barrier HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"short route":    get("/barrier"),
		"folded header":  "GET /long/barrier HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n",
		"bare LF":        "GET /long/barrier HTTP/1.1\nHost: a\n\n",
	}
	for name, barrier := range barriers {
		t.Run(name, func(t *testing.T) {
			first, second := newGate(), newGate()
			var barrierRuns atomic.Int64
			s := serve(t, 8, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if strings.HasSuffix(r.URL.Path, "barrier") {
					barrierRuns.Add(1)
					second.ServeHTTP(w, r)
					return
				}
				first.ServeHTTP(w, r)
			})
			c := dial(t, s)
			c.send(t, gets(0, 2), barrier, gets(2, 4))
			first.awaitRunning(t, 2)
			time.Sleep(20 * time.Millisecond)
			if first.runs.Load() != 2 || barrierRuns.Load() != 0 {
				t.Fatalf("%d requests and %d barriers began, want 2 and 0", first.runs.Load(), barrierRuns.Load())
			}
			close(first.open)
			c.wantAnswers(t, "/long/0", "/long/1")
			second.awaitRunning(t, 1)
			time.Sleep(20 * time.Millisecond)
			if n := first.runs.Load(); n != 2 {
				t.Fatalf("%d requests began behind the barrier", n-2)
			}
			close(second.open)
			if _, body := c.receive(t); !strings.HasSuffix(body, "/barrier") {
				t.Fatalf("got answer %q, want that to the barrier", body)
			}
			c.wantAnswers(t, "/long/2", "/long/3")
			if n := barrierRuns.Load(); n != 1 {
				t.Fatalf("the barrier ran %d times", n)
			}
		})
	}
}

// TestMalformedIsRefused guards against a malformed request that is started ahead, or passed over.
func TestMalformedIsRefused(t *testing.T) {
	var runs atomic.Int64
	s := serve(t, 8, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echoPath(w, r)
	})
	c := dial(t, s)
	c.send(t, gets(0, 2), "GET /long/2 HTTP/1.1\r\n\r\n", gets(3, 5)) // no Host
	c.wantAnswers(t, "/long/0", "/long/1")
	if response, _ := c.receive(t); response.StatusCode != http.StatusBadRequest {
		t.Fatalf("got status %d, want 400", response.StatusCode)
	}
	c.wantEnd(t)
	if n := runs.Load(); n != 2 {
		t.Fatalf("%d requests ran, want 2", n)
	}
}

// TestCloseEndsEverything guards against requests that continue after their caller has closed or reset the connection:
// the one that net/http serves, those started ahead, and those not begun.
func TestCloseEndsEverything(t *testing.T) {
	closes := map[string]func(net.Conn){
		"close":      func(c net.Conn) { _ = c.Close() },
		"half close": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
		"reset": func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
	}
	sends := map[string]struct {
		text string
		runs int64
	}{
		"one":                        {gets(0, 1), 1},
		"six":                        {gets(0, 6), 4},
		"more than the buffer holds": {gets(0, 4) + strings.Repeat(get("/long/x?"+strings.Repeat("x", 1000)), 100), 4},
		"behind a POST":              {"POST /long HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na" + gets(0, 3), 1},
		"behind a chunked request":   {"POST /long HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + gets(0, 3), 1},
		"behind bare LF":             {"GET /long HTTP/1.1\nHost: a\n\n" + gets(0, 3), 1},
		"an incomplete head":         {gets(0, 2) + "GET /long/2 HTTP/1.1\r\n", 2},
	}
	for closeName, closeConn := range closes {
		for sendName, send := range sends {
			t.Run(closeName+" "+sendName, func(t *testing.T) {
				g := newGate()
				s := serve(t, 4, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					g.ServeHTTP(w, r)
				})
				c := dial(t, s)
				c.send(t, send.text)
				g.awaitRunning(t, send.runs)
				closed := time.Now()
				closeConn(c.Conn)
				g.awaitRunning(t, 0)
				if took := time.Since(closed); took > closeLimit {
					t.Fatalf("the requests ended after %s, want at most %s", took, closeLimit)
				}
				time.Sleep(20 * time.Millisecond)
				if g.runs.Load() != send.runs || g.cancelled.Load() != send.runs {
					t.Fatalf("%d requests ran and %d were cancelled, want %d", g.runs.Load(), g.cancelled.Load(), send.runs)
				}
				await(t, "requests are counted as discarded", func() bool {
					return s.counter("callers_pipelined") == s.counter("callers_pipelined_discarded")
				})
			})
		}
	}
}

// TestCloseAfterLaterRequests guards against a close that is not seen because further requests arrived while the first one
// was served.
func TestCloseAfterLaterRequests(t *testing.T) {
	firsts := map[string]string{
		"plain":   gets(0, 1),
		"POST":    "POST /long HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\na",
		"chunked": "POST /long HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"bare LF": "GET /long HTTP/1.1\nHost: a\n\n",
	}
	for name, first := range firsts {
		t.Run(name, func(t *testing.T) {
			g := newGate()
			c := dial(t, serve(t, 4, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				g.ServeHTTP(w, r)
			}))
			c.send(t, first)
			g.awaitRunning(t, 1)
			c.send(t, "GET /short HTTP/1.1\r\nHost: a\r\n\r\n")
			time.Sleep(20 * time.Millisecond)
			_ = c.Close()
			closed := time.Now()
			g.awaitRunning(t, 0)
			if took := time.Since(closed); took > closeLimit {
				t.Fatalf("the request ended after %s, want at most %s", took, closeLimit)
			}
			time.Sleep(20 * time.Millisecond)
			if n := g.runs.Load(); n != 1 {
				t.Fatalf("%d requests ran, want 1", n)
			}
		})
	}
}

// TestCloseWhileAnswering guards against requests that continue after the close because net/http has come to one that was
// started ahead.
func TestCloseWhileAnswering(t *testing.T) {
	g := newGate()
	s := serve(t, 4, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long/0" {
			time.Sleep(20 * time.Millisecond)
			echoPath(w, r)
			return
		}
		if r.URL.Path == "/long/1" {
			_, _ = io.WriteString(w, "begun")
			_ = http.NewResponseController(w).Flush()
		}
		g.ServeHTTP(w, r)
	})
	c := dial(t, s)
	c.send(t, gets(0, 6))
	c.wantAnswers(t, "/long/0")
	if _, err := http.ReadResponse(c.reader, nil); err != nil {
		t.Fatal(err)
	}
	g.awaitRunning(t, 4)
	_ = c.Close()
	closed := time.Now()
	g.awaitRunning(t, 0)
	if took := time.Since(closed); took > closeLimit {
		t.Fatalf("the requests ended after %s, want at most %s", took, closeLimit)
	}
	await(t, "all are counted as discarded", func() bool { return s.counter("callers_pipelined_discarded") == 4 })
	if n := g.runs.Load(); n != 4 {
		t.Fatalf("%d requests ran, want 4", n)
	}
}

// TestCloseInTheMiddle guards against answers behind one that ends the connection, and requests behind it that continue.
func TestCloseInTheMiddle(t *testing.T) {
	ends := map[string]http.HandlerFunc{
		"Connection: close": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Connection", "close")
			echoPath(w, r)
		},
		"abort":         func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"abort midways": abortMidways,
		"panic":         func(http.ResponseWriter, *http.Request) { panic("out of paper") },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			g := newGate()
			s := serve(t, 8, func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Path == "/long/2":
					end(w, r)
				case r.URL.Path < "/long/2":
					time.Sleep(50 * time.Millisecond) // so that all are started
					echoPath(w, r)
				default:
					g.ServeHTTP(w, r)
				}
			})
			c := dial(t, s)
			c.send(t, gets(0, 5))
			c.wantAnswers(t, "/long/0", "/long/1")
			switch name {
			case "Connection: close":
				if response, body := c.receive(t); !response.Close || body != "/long/2" {
					t.Fatalf("got %q, close %t", body, response.Close)
				}
			case "abort midways":
				response, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				if body, err := io.ReadAll(response.Body); err == nil {
					t.Fatalf("a partial answer of %d bytes appears complete", len(body))
				}
			}
			c.wantEnd(t)
			await(t, "requests behind it are cancelled", func() bool { return g.cancelled.Load() == 2 && g.running.Load() == 0 })
			if logged := strings.Contains(s.log.String(), "out of paper"); logged != (name == "panic") {
				t.Fatalf("got log %q", s.log)
			}
		})
	}
}

func abortMidways(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "20000")
	_, _ = w.Write(make([]byte, 10000))
	panic(http.ErrAbortHandler)
}

// TestConnectionCloseRequested guards against starting what follows a request that ends the connection.
func TestConnectionCloseRequested(t *testing.T) {
	g := newGate()
	c := dial(t, serve(t, 8, g.ServeHTTP))
	c.send(t, gets(0, 1), "GET /long/1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", gets(2, 4))
	g.awaitRunning(t, 2)
	close(g.open)
	c.wantAnswers(t, "/long/0", "/long/1")
	c.wantEnd(t)
	if n := g.runs.Load(); n != 2 {
		t.Fatalf("%d requests ran, want 2", n)
	}
}

// TestPanicAfterCloseIsLogged guards against a panic that is not logged.
func TestPanicAfterCloseIsLogged(t *testing.T) {
	s := serve(t, 8, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		if r.URL.Path == "/long/1" {
			panic("out of paper")
		}
	})
	c := dial(t, s)
	c.send(t, gets(0, 2))
	await(t, "the request is started ahead", func() bool { return s.counter("callers_pipelined") == 1 })
	_ = c.Close()
	await(t, "the panic is logged", func() bool { return strings.Contains(s.log.String(), "out of paper") })
}

// TestMoreThanTheBuffer guards against requests that are lost, or wait for ever, where a caller sends ahead more than is
// read ahead.
func TestMoreThanTheBuffer(t *testing.T) {
	const requests = 300
	s := serve(t, 6, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Millisecond)
		echoPath(w, r)
	})
	c := dial(t, s)
	go func() {
		for number := range requests {
			_, _ = io.WriteString(c, get(fmt.Sprintf("/long/%d?%s", number, strings.Repeat("x", 1000))))
		}
	}()
	time.Sleep(20 * time.Millisecond)
	for number := range requests {
		c.wantAnswers(t, fmt.Sprintf("/long/%d", number))
	}
	if started := s.counter("callers_pipelined"); started < requests/2 {
		t.Fatalf("%d of %d requests were started ahead", started, requests)
	}
}

// TestSlowReader guards against answers that are lost or mixed up when the caller reads slowly, and against a caller that
// is not answered although others use the memory.
func TestSlowReader(t *testing.T) {
	const size = 3 << 20
	s := serve(t, 4, func(w http.ResponseWriter, r *http.Request) {
		fill := bytes.Repeat([]byte(r.URL.Path[len("/long/"):]), 1000)
		for written := 0; written < size; written += len(fill) {
			if _, err := w.Write(fill); err != nil {
				return
			}
		}
	})
	c := dial(t, s)
	c.send(t, gets(0, 8))
	for number := range 8 {
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		body, err := io.ReadAll(response.Body)
		if err != nil || len(body) < size || strings.Trim(string(body), strconv.Itoa(number)) != "" {
			t.Fatalf("answer %d has %d bytes, error %v", number, len(body), err)
		}
	}
}

// TestMemory guards against answers that wait for their turn and hold more than the bound.
func TestMemory(t *testing.T) {
	const pieceSize = 10_000
	var written atomic.Int64
	release := make(chan struct{})
	s := serve(t, 8, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long/0" {
			<-release
			return
		}
		for range 100 {
			if _, err := w.Write(make([]byte, pieceSize)); err != nil {
				t.Error(err)
			}
			written.Add(pieceSize)
		}
	})
	c := dial(t, s)
	c.send(t, gets(0, 8))
	await(t, "the memory is used", func() bool { return written.Load() > 900_000 })
	time.Sleep(50 * time.Millisecond)
	if n := written.Load(); n > 1<<20 {
		t.Fatalf("%d bytes wait for their turn", n)
	}
	close(release)
	for number := range 8 {
		if _, body := c.receive(t); number > 0 && len(body) != 100*pieceSize {
			t.Fatalf("answer %d has %d bytes", number, len(body))
		}
	}
}

// TestMemoryIsReturned guards against memory that delivered answers keep: later answers of the connection would wait for
// their turn although little is held.
func TestMemoryIsReturned(t *testing.T) {
	const size = 300_000
	ended := make(chan struct{}, 1)
	s := serve(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long/0" { // answers once the one behind it has ended
			select {
			case <-ended:
			case <-r.Context().Done():
			}
			return
		}
		_, _ = w.Write(make([]byte, size))
		ended <- struct{}{}
	})
	c := dial(t, s)
	for range 8 { // more than 1 MiB in total
		c.send(t, gets(0, 2))
		c.wantAnswers(t, "")
		if _, body := c.receive(t); len(body) != size {
			t.Fatalf("the answer has %d bytes, want %d", len(body), size)
		}
	}
}

// TestMemoryAtClose guards against a handler that waits for memory after its caller has gone.
func TestMemoryAtClose(t *testing.T) {
	var running atomic.Int64
	s := serve(t, 4, func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		if r.URL.Path == "/long/0" {
			<-r.Context().Done()
			return
		}
		for {
			if _, err := w.Write(make([]byte, 100_000)); err != nil {
				return
			}
		}
	})
	c := dial(t, s)
	c.send(t, gets(0, 4))
	await(t, "all run", func() bool { return running.Load() == 4 })
	time.Sleep(20 * time.Millisecond)
	_ = c.Close()
	closed := time.Now()
	await(t, "all end", func() bool { return running.Load() == 0 })
	if took := time.Since(closed); took > closeLimit {
		t.Fatalf("the requests ended after %s", took)
	}
}

// TestRandomClosesLeaveNothing guards against requests that are counted, run, or wait for ever after callers have closed
// their connections at any moment.
func TestRandomClosesLeaveNothing(t *testing.T) {
	var running atomic.Int64
	s := serve(t, 4, func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		select {
		case <-time.After(time.Duration(rand.IntN(2000)) * time.Microsecond):
		case <-r.Context().Done():
		}
		_, _ = w.Write(make([]byte, rand.IntN(400_000)))
	})
	var callers sync.WaitGroup
	for range 40 {
		callers.Go(func() {
			for range 10 {
				c, err := net.Dial("tcp", s.address)
				if err != nil {
					t.Error(err)
					return
				}
				_ = c.SetDeadline(time.Now().Add(time.Duration(rand.IntN(20)) * time.Millisecond))
				_, _ = io.WriteString(c, gets(0, rand.IntN(12)))
				_, _ = io.CopyN(io.Discard, c, rand.Int64N(600_000)) // waits for as much, or until the deadline
				_ = c.Close()
			}
		})
		time.Sleep(time.Millisecond)
	}
	callers.Wait()
	s.pipeline.StopStarting()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	s.pipeline.Wait(ctx)
	if ctx.Err() != nil {
		t.Fatal("requests are still counted as unanswered")
	}
	await(t, "all handlers end", func() bool { return running.Load() == 0 })
}

// TestConcurrentReads guards against a data race when a connection that is closed is drained (internal/serve) while
// net/http's last read has not returned, and against bytes that get lost then. It needs the race detector.
func TestConcurrentReads(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := pipeline.New(pipeline.Config{Limit: 2, Scope: tally.NoopScope})
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	c, err := p.Listen(listener).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	const size = 1000
	var received atomic.Int64
	var readers sync.WaitGroup
	for range 2 {
		readers.Go(func() {
			n, _ := io.Copy(io.Discard, c)
			received.Add(n)
		})
	}
	for range size {
		if _, err := caller.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Microsecond) // so that each read gets little
	}
	_ = caller.Close()
	readers.Wait()
	if n := received.Load(); n != size {
		t.Fatalf("%d of %d bytes were read", n, size)
	}
}

// TestStopStarting guards against requests that are started after a planned stop began, and against losing those that were
// started before.
func TestStopStarting(t *testing.T) {
	g := newGate()
	s := serve(t, 4, g.ServeHTTP)
	c := dial(t, s)
	c.send(t, gets(0, 3))
	g.awaitRunning(t, 3)
	s.pipeline.StopStarting()
	c.send(t, gets(3, 4))
	time.Sleep(20 * time.Millisecond)
	if n := g.runs.Load(); n != 3 {
		t.Fatalf("%d requests ran, want 3", n)
	}
	close(g.open)
	c.wantAnswers(t, "/long/0", "/long/1", "/long/2", "/long/3")
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	s.pipeline.Wait(ctx)
	if ctx.Err() != nil {
		t.Fatal("requests are still counted as unanswered")
	}
}

// answers are handlers whose answers net/http frames in different ways.
var answers = []http.HandlerFunc{
	echoPath,
	func(http.ResponseWriter, *http.Request) {},
	func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
	func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotModified)
		if _, err := io.WriteString(w, "x"); err == nil {
			panic("a body was written to 304")
		}
	},
	func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusTeapot) },
	func(w http.ResponseWriter, _ *http.Request) {
		for range 5 {
			_, _ = io.WriteString(w, strings.Repeat("x", 1500))
		}
	},
	func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "with a trailer")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "<html>")
		w.Header().Set("X-Sum", "7")
		w.Header().Set(http.TrailerPrefix+"X-Late", "8")
		w.Header().Set("X-Too-Late", "9")
	},
	func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Link", "</a>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		w.Header()["X-Many"] = []string{"1", "2"}
		w.WriteHeader(http.StatusAccepted)
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "<html>")
	},
	func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "3")
		w.Header()["Date"] = nil
		_, _ = io.WriteString(w, "abc")
	},
	func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() },
}

// drawRequest returns a request that a server may or may not understand, and whether the connection ends with it.
func drawRequest(r *rapid.T) (text string, last bool) {
	const host = "Host: a\r\n"
	large := strings.Repeat("x", rapid.SampledFrom([]int{1, 4000, 4095, 9000, 40000}).Draw(r, "large"))
	switch rapid.IntRange(0, 15).Draw(r, "kind") {
	case 0:
		return "POST /long/p HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabc", false
	case 1:
		return "POST /long/p HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nabc\r\n\r\n", false // two bytes skipped
	case 2:
		return fmt.Sprintf("PUT /long/p HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", host, len(large), large), false
	case 3:
		return fmt.Sprintf("PUT /long/p HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", host, len(large), large), false
	case 4:
		return "GET /long/lf HTTP/1.1\nHost: a\n\n", false
	case 5:
		return "GET /long/fold HTTP/1.1\r\n" + host + "X-A: b\r\n c\r\n\r\n", false
	case 6:
		return "GET /long/large HTTP/1.1\r\n" + host + "X-Large: " + large + "\r\n\r\n", false
	case 7:
		return "GET /short HTTP/1.1\r\n" + host + "\r\n", false
	case 8:
		return "GET /long/mixed HTTP/1.1\r\n" + host + "X-A: b\nX-C: d\r\n\r\n", false
	case 9:
		text = rapid.SampledFrom([]string{
			"GET /long HTTP/1.1\r\n\r\n", "hello\r\n\r\n", "GET /long HTTP/1.1\r\n" + host + "A b\r\n\r\n", "\r\nGET /long HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n",
			"GET /long HTTP/1.1\r\n" + host + "Expect: x\r\n\r\n", "POST /long HTTP/1.1\r\n" + host + "Content-Length: a\r\n\r\n",
			"GET /long HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n", "GET /long HTTP/1.0\r\n" + host + "\r\n",
		}).Draw(r, "last")
		return text, true
	default:
		return get("/long/get"), false
	}
}

// echoRequest answers with all that it knows of the request.
func echoRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	text := fmt.Sprintf("%s %s %s %q %v %q %d %v %t %q %v %v", r.Method, r.RequestURI, r.Proto, r.Host, r.Header, r.URL, r.ContentLength,
		r.TransferEncoding, r.Close, body, err, r.Trailer)
	if r.RemoteAddr == "" {
		text += " without an address"
	}
	time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond)
	_, _ = io.WriteString(w, text)
}

// TestRequestsAreTheSame guards against requests that the handler gets changed, in another order, or not at all, for
// whatever a caller sends in pieces of any size.
func TestRequestsAreTheSame(t *testing.T) {
	servers := []*server{serve(t, 0, echoRequest), serve(t, 4, echoRequest)}
	rapid.Check(t, func(r *rapid.T) {
		var all strings.Builder
		last := false
		for count := rapid.IntRange(1, 10).Draw(r, "requests"); !last && count > 0; count-- {
			var text string
			text, last = drawRequest(r)
			all.WriteString(text)
		}
		if !last {
			all.WriteString("GET /long/end HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		}
		var pieces []string
		for rest := all.String(); rest != ""; {
			size := min(len(rest), rapid.SampledFrom([]int{1, 20, 100, 4095, 4096, 1 << 20}).Draw(r, "piece"))
			pieces = append(pieces, rest[:size])
			rest = rest[size:]
			if len(pieces) > 300 {
				pieces, rest = append(pieces, rest), ""
			}
		}
		var got [2]string
		for i, s := range servers {
			got[i] = exchange(t, s, pieces)
		}
		if got, want := difference(got[1], got[0]); got != want {
			r.Fatalf("got\n%s\nwant\n%s", got, want)
		}
	})
}

// exchange sends the pieces and returns what the server answers, and how the connection ends unless it is closed or reset.
// The kernel resets a connection that the server closes while unread data is in its buffer, which depends on timing.
func exchange(t *testing.T, s *server, pieces []string) string {
	t.Helper()
	c := dial(t, s)
	defer func() { _ = c.Close() }()
	received := make(chan string)
	go func() {
		all, err := io.ReadAll(c)
		if errors.Is(err, syscall.ECONNRESET) {
			err = nil
		}
		received <- fmt.Sprintf("%s%v", date.ReplaceAllString(string(all), ""), err)
	}()
	for _, piece := range pieces {
		_, _ = io.WriteString(c, piece) // the server may have refused what came before
	}
	return <-received
}

// difference returns both texts from shortly before the first difference; they are empty if there is none.
func difference(got, want string) (string, string) {
	if got == want {
		return "", ""
	}
	const context = 300
	at := 0
	for at < min(len(got), len(want)) && got[at] == want[at] {
		at++
	}
	from := max(0, at-context)
	return got[from:min(len(got), at+context)], want[from:min(len(want), at+context)]
}

var date = regexp.MustCompile(`Date: [^\r]*\r\n`)

// TestAnswersAreTheSame guards against an answer that differs, in any byte, from that of a request that was not started
// ahead.
func TestAnswersAreTheSame(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		number, _ := strconv.Atoi(r.Header.Get("X-Answer"))
		time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
		answers[number](w, r)
	}
	rapid.Check(t, func(r *rapid.T) {
		var requests strings.Builder
		for range rapid.IntRange(1, 12).Draw(r, "requests") {
			number := rapid.IntRange(0, len(answers)-1).Draw(r, "answer")
			method := rapid.SampledFrom([]string{"GET", "GET", "HEAD"}).Draw(r, "method")
			fmt.Fprintf(&requests, "%s /long/x HTTP/1.1\r\nHost: a\r\nX-Answer: %d\r\n\r\n", method, number)
		}
		requests.WriteString("GET /end HTTP/1.1\r\nHost: a\r\nX-Answer: 0\r\nConnection: close\r\n\r\n")
		var got [2]string
		for i, limit := range []int{0, 8} {
			c := dial(t, serve(t, limit, handler))
			c.send(t, requests.String())
			data, err := io.ReadAll(c)
			if err != nil {
				r.Fatal(err)
			}
			got[i] = date.ReplaceAllString(string(data), "")
		}
		if got, want := difference(got[1], got[0]); got != want {
			r.Fatalf("got\n%s\nwant\n%s", got, want)
		}
	})
}

// BenchmarkOneAtATime measures requests of a caller that waits for each answer, without and with a pipeline.
func BenchmarkOneAtATime(b *testing.B) {
	for _, limit := range []int{0, 8} {
		b.Run(fmt.Sprintf("limit=%d", limit), func(b *testing.B) {
			c := dial(b, serve(b, limit, echoPath))
			_ = c.SetDeadline(time.Time{})
			text := "GET /long/x HTTP/1.1\r\nHost: a\r\nUser-Agent: benchmark\r\nAccept: */*\r\nX-Request-Id: 12345678\r\n\r\n"
			b.ReportAllocs()
			for b.Loop() {
				c.send(b, text)
				c.receive(b)
			}
		})
	}
}
