package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/backend"
)

// acceptAll calls the function for each connection to a new listener.
func acceptAll(t *testing.T, handle func(listener net.Listener, socket *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(listener, socket.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// exchange sends a request and returns the body of its answer as far as it was read.
func exchange(t *testing.T, address string, r *http.Request) (string, error) {
	t.Helper()
	pool, cleanUp := backend.New(backend.Config{Address: address, Dial: (&net.Dialer{}).DialContext})
	defer cleanUp()
	response, err := pool.Do(t.Context(), r, func(*http.Response) bool { return true })
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// newUpload returns a request whose body fills the buffers of its connection.
func newUpload(address string) *http.Request {
	const size = 16 << 20
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/", io.LimitReader(zeros{}, size))
	r.ContentLength = size
	return r
}

type zeros struct{}

// Read fills p.
func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestResetDuringUploadIsNoEnd guards against a reset that is reported to the write of the request, so that the read of an answer
// without a length sees an ordinary end.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const tries = 40
	address := acceptAll(t, func(_ net.Listener, socket *net.TCPConn) {
		_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(5 * time.Millisecond)
		_ = socket.SetLinger(0)
		_ = socket.Close()
	})
	for range tries {
		if body, err := exchange(t, address, newUpload(address)); err == nil {
			t.Fatalf("%q counts as the whole answer", body)
		}
	}
}

// TestAnswerOfClosedUploadIsRead guards against a whole answer that is dropped because the rest of the request cannot be sent.
func TestAnswerOfClosedUploadIsRead(t *testing.T) {
	const tries = 40
	address := acceptAll(t, func(_ net.Listener, socket *net.TCPConn) {
		_, _ = io.WriteString(socket, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nwhole")
		time.Sleep(5 * time.Millisecond)
		_ = socket.Close() // with unread bytes, so that it is reset
	})
	for range tries {
		if body, err := exchange(t, address, newUpload(address)); body != "whole" || err != nil {
			t.Fatalf("got %q, %v", body, err)
		}
	}
}

// TestAnswerOfCrashedServerIsNotComplete guards against an answer without a length whose end is that of a process, whose kernel
// closes its sockets in order, one after the other.
func TestAnswerOfCrashedServerIsNotComplete(t *testing.T) {
	ended, end := context.WithCancel(t.Context())
	address := acceptAll(t, func(listener net.Listener, socket *net.TCPConn) {
		defer func() { _ = socket.Close() }()
		context.AfterFunc(ended, func() { _ = socket.Close() })
		if _, err := http.ReadRequest(bufio.NewReader(socket)); err != nil {
			return
		}
		_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = socket.Close()
		time.Sleep(10 * time.Millisecond)
		_ = listener.Close()
		end()
	})
	r, _ := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	if body, err := exchange(t, address, r); err == nil {
		t.Fatalf("%q counts as the whole answer", body)
	}
}

// TestAnswerInPlaceOfContinueIsRead guards against an answer that is lost because the body was not requested.
func TestAnswerInPlaceOfContinueIsRead(t *testing.T) {
	body := strings.Repeat("y", 30_000)
	address := acceptAll(t, func(_ net.Listener, socket *net.TCPConn) {
		_, _ = http.ReadRequest(bufio.NewReader(socket))
		_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n"+body[:10_000])
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(socket, body[10_000:])
	})
	r := newUpload(address)
	r.Header.Set("Expect", "100-continue")
	if got, err := exchange(t, address, r); got != body || err != nil {
		t.Fatalf("got %d bytes, %v", len(got), err)
	}
}

// TestOddHeadsAreErrors guards against an answer whose head net/http reads although it is invalid, as the first or as an interim
// one, and against invalid trailers.
func TestOddHeadsAreErrors(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 X\r\nContent-Length: 43\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake",
		"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\nok",
		"HTTP/1.1 103 X\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 9_000) + "\r\nX A: b\r\nContent-Length: 2\r\n\r\nok",
	} {
		address := acceptAll(t, func(_ net.Listener, socket *net.TCPConn) {
			_, _ = http.ReadRequest(bufio.NewReader(socket))
			_, _ = io.WriteString(socket, text)
			_ = socket.CloseWrite()
		})
		r, _ := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		if body, err := exchange(t, address, r); err == nil {
			t.Errorf("%.80q: got %q as an answer", text, body)
		}
	}
}
