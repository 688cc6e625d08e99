package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/backend"
)

// answerServer is a backend server that answers each request of a connection with the text that the
// function returns for it.
type answerServer struct {
	address     string
	connections atomic.Int64
}

func newAnswerServer(t *testing.T, answer func(id string, n int) string) *answerServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	a := &answerServer{address: listener.Addr().String()}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			a.connections.Add(1)
			go serve(socket, answer)
		}
	}()
	return a
}

func serve(socket net.Conn, answer func(id string, n int) string) {
	defer func() { _ = socket.Close() }()
	reader := bufio.NewReader(socket)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := answer(r.Header.Get("X-Id"), n)
		_, _ = io.WriteString(socket, strings.TrimSuffix(text, "CLOSE"))
		if strings.HasSuffix(text, "CLOSE") {
			return
		}
	}
}

// reply returns a complete answer to the request with that ID.
func reply(id, body, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
}

// send sends a request and returns the body of its answer.
func send(p *backend.Pool, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://backend/", nil)
	if err != nil {
		return "", err
	}
	r.Header.Set("X-Id", id)
	response, err := p.Do(ctx, r, func(r *http.Response) bool { return r.Header.Get("X-Id") == id })
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func newPool(t *testing.T, address string) *backend.Pool {
	t.Helper()
	p, cleanUp := backend.New(backend.Config{Address: address, Dial: (&net.Dialer{}).DialContext})
	t.Cleanup(cleanUp)
	return p
}

// TestAnswers guards against answers that reach the wrong request, and against connections that are
// reused after an unexpected answer or not reused after a complete one.
func TestAnswers(t *testing.T) {
	tests := []struct {
		name        string
		answer      func(id string, n int) string
		connections int64
	}{
		{"complete answers", func(id string, _ int) string { return reply(id, id, "") }, 1},
		{"an answer that closes the connection", func(id string, _ int) string { return reply(id, id, "Connection: close\r\n") }, 5},
		{"no idle time", func(id string, _ int) string { return reply(id, id, "Keep-Alive: timeout=0\r\n") }, 5},
		{"a second answer after the first", func(id string, _ int) string { return reply(id, id, "") + reply(id, "surplus", "") }, 5},
		{"bytes after the answer", func(id string, _ int) string { return reply(id, id, "") + "noise" }, 5},
		{"an answer to another before it", func(id string, _ int) string { return reply("other", "surplus", "") + reply(id, id, "") }, 5},
		{"an interim answer before it", func(id string, _ int) string {
			return "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + reply(id, id, "")
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := newAnswerServer(t, test.answer)
			p := newPool(t, a.address)
			for n := range 5 {
				id := fmt.Sprintf("r%d", n)
				if body, err := send(p, id); err != nil || body != id {
					t.Fatalf("request %s: got %q, %v", id, body, err)
				}
				time.Sleep(5 * time.Millisecond) // lets surplus bytes arrive
			}
			if got := a.connections.Load(); got != test.connections {
				t.Fatalf("%d connections, want %d", got, test.connections)
			}
		})
	}
}

// TestBrokenAnswersAreErrors guards against a truncated or invalid answer taken for a complete one,
// and a refused connection taken for a request that was sent.
func TestBrokenAnswersAreErrors(t *testing.T) {
	tests := []struct {
		name   string
		answer string
	}{
		{"nothing", "CLOSE"},
		{"half a head", "HTTP/1.1 200 OK\r\nX-IdCLOSE"},
		{"half a body", "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 9\r\n\r\nhalfCLOSE"},
		{"a chunk too few", "HTTP/1.1 200 OK\r\nX-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nCLOSE"},
		{"another protocol", "220 welcome\r\nCLOSE"},
		{"a long line", strings.Repeat("x", 50_000) + "\r\nCLOSE"},
		{"a head without end", strings.Repeat("X-A: b\r\n", 100_000)},
		{"only answers to others", strings.Repeat(reply("other", "x", ""), 4) + "CLOSE"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := newAnswerServer(t, func(string, int) string { return test.answer })
			body, err := send(newPool(t, a.address), "r")
			if err == nil {
				t.Fatalf("got %q", body)
			}
			if errors.Is(err, backend.ErrNotSent) {
				t.Fatalf("sent request reported as not sent: %v", err)
			}
			if text := err.Error(); len(text) > 1000 {
				t.Fatalf("the error quotes %d bytes", len(text))
			}
		})
	}
	if _, err := send(newPool(t, "127.0.0.1:1"), "r"); !errors.Is(err, backend.ErrNotSent) {
		t.Fatalf("refused connection: got %v, want ErrNotSent", err)
	}
}

// TestLongMismatchedAnswerIsNotReadToItsEnd guards against a request that spends its time on the
// long body of an answer to another request.
func TestLongMismatchedAnswerIsNotReadToItsEnd(t *testing.T) {
	a := newAnswerServer(t, func(string, int) string {
		return "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1000000000\r\n\r\n" + strings.Repeat("x", 2<<20)
	})
	began := time.Now()
	if body, err := send(newPool(t, a.address), "mine"); err == nil {
		t.Fatalf("got %q, want an error", body)
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Fatalf("request took %s, want at most 2 s", took)
	}
}

// TestAnswerWithoutLengthEndsWithItsConnection guards against an error for an answer that ends with
// an orderly close of its connection.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	a := newAnswerServer(t, func(id string, _ int) string { return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n\r\nwhole" + "CLOSE" })
	if body, err := send(newPool(t, a.address), "r"); err != nil || body != "whole" {
		t.Fatalf("got %q, %v", body, err)
	}
}

// TestEndOfContextClosesTheConnection guards against a backend server that keeps running a request
// whose caller has stopped waiting.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(socket)
		_, _ = http.ReadRequest(reader)
		_, _ = reader.ReadByte() // returns when the connection ends
		close(closed)
	}()
	p := newPool(t, listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://backend/", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := p.Do(ctx, r, func(*http.Response) bool { return true })
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("got an answer that was never sent")
	}
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want the deadline error of the context", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("connection is still open 5 s after the end of the context")
	}
}

// TestConnectionIsNotReusedAfterEarlyAnswer guards against the rest of an unread body being taken
// for the next request.
func TestConnectionIsNotReusedAfterEarlyAnswer(t *testing.T) {
	var connections atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				reader := bufio.NewReader(socket)
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.WriteString(socket, reply(r.Header.Get("X-Id"), "early", ""))
				_, _ = io.Copy(io.Discard, reader) // reads the rest after the answer
			}()
		}
	}()
	p := newPool(t, listener.Addr().String())
	for n := range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		body, hold := io.Pipe()
		go func() { _, _ = hold.Write([]byte("first piece")) }()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://backend/", body)
		if err != nil {
			t.Fatal(err)
		}
		r.ContentLength = 1 << 20
		r.Header.Set("X-Id", "r")
		response, err := p.Do(ctx, r, func(*http.Response) bool { return true })
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		_ = hold.Close()
		cancel()
	}
	if got := connections.Load(); got != 3 {
		t.Fatalf("%d connections, want one for each of 3 requests that were not read to their end", got)
	}
}
