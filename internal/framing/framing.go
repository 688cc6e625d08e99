// Package framing finds requests whose length can be read in two ways.
//
// A request with both Content-Length and Transfer-Encoding is how one request
// is smuggled inside another. net/http drops the Content-Length before a
// handler sees it; this package looks at the bytes as they arrive, so that such
// a request can be refused.
//
// # Usage
//
//	listener = framing.Listen(listener)
//	server := &http.Server{ConnContext: framing.ConnContext, ConnState: framing.ConnState, Handler: handler}
//	...
//	if framing.Ambiguous(r) { ... }
//
// Only heads are looked at. A chunked request whose head did not arrive by
// itself, because the caller sent it before its last answer, cannot be vouched
// for and counts as ambiguous; callers that pipeline chunked requests are few.
package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
)

// maxHead bounds what is kept of a head, in bytes.
const maxHead = 64 << 10

type contextKey struct{}

// Listen returns a listener whose connections keep the heads that arrive.
func Listen(listener net.Listener) net.Listener {
	return watchingListener{listener}
}

type watchingListener struct{ net.Listener }

// Accept returns the next connection.
func (l watchingListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: socket}, nil
}

// ConnContext makes the connection known to Ambiguous.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// ConnState follows where one request ends and the next begins.
func ConnState(c net.Conn, state http.ConnState) {
	if watched, ok := c.(*conn); ok && state == http.StateIdle {
		watched.nextRequest()
	}
}

// Ambiguous reports whether the request's length can be read in two ways.
func Ambiguous(r *http.Request) bool {
	if !slices.Contains(r.TransferEncoding, "chunked") {
		return false // without chunks net/http itself refuses lengths that differ
	}
	watched, ok := r.Context().Value(contextKey{}).(*conn)
	if !ok {
		return false
	}
	return !watched.isUnambiguous(r.Method)
}

// conn keeps the head of the present request.
type conn struct {
	net.Conn

	mu       sync.Mutex
	head     []byte
	complete bool // the head has ended
	early    bool // the present head began before the last request's end
}

// Read reads from the connection and keeps what belongs to a head. net/http
// reads a single byte while a handler runs, to learn whether the caller has gone;
// that byte begins the next request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) == 1 && c.complete {
		c.restart()
		c.early = true
	}
	c.collect(p[:n])
	return n, err
}

func (c *conn) collect(piece []byte) {
	if c.complete || len(c.head) > maxHead {
		return
	}
	c.head = append(c.head, piece...)
	if end := bytes.Index(c.head, []byte("\r\n\r\n")); end >= 0 {
		c.head = c.head[:end]
		c.complete = true
	}
}

func (c *conn) nextRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.early {
		c.early = false
		return
	}
	c.restart()
}

func (c *conn) restart() {
	c.head = c.head[:0]
	c.complete = false
}

// isUnambiguous reports whether the head is whole, is that of a request of the method,
// and has no Content-Length.
func (c *conn) isUnambiguous(method string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.complete || !bytes.HasPrefix(c.head, []byte(method+" ")) {
		return false
	}
	return !bytes.Contains(bytes.ToLower(c.head), []byte("\r\ncontent-length:"))
}
