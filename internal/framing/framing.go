// Package framing detects requests whose length is ambiguous.
//
// A request with both Content-Length and Transfer-Encoding can be used for
// request smuggling. net/http drops the Content-Length before a handler sees
// it; this package inspects the bytes as they arrive, so that such a request
// can be refused.
//
// # Usage
//
//	listener = framing.Listen(listener)
//	server := &http.Server{ConnContext: framing.ConnContext, ConnState: framing.ConnState, Handler: handler}
//	...
//	if framing.Ambiguous(r) { ... }
//
// Only heads are inspected. A chunked request whose head did not arrive
// separately, because the caller sent it before the previous response, cannot
// be verified and counts as ambiguous; few callers pipeline chunked requests.
package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
)

// maxHead bounds how much of a head is kept, in bytes.
const maxHead = 64 << 10

type contextKey struct{}

// Listen returns a listener whose connections record the heads of requests.
func Listen(listener net.Listener) net.Listener {
	return headListener{listener}
}

type headListener struct{ net.Listener }

// Accept returns the next connection.
func (l headListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: socket}, nil
}

// Unwrap returns the connection that was accepted by the listener given to Listen.
func Unwrap(c net.Conn) net.Conn {
	if watched, ok := c.(*conn); ok {
		return watched.Conn
	}
	return c
}

// ConnContext stores the connection in the context for Ambiguous. It is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// ConnState tracks where one request ends and the next begins. It is for http.Server.ConnState.
func ConnState(c net.Conn, state http.ConnState) {
	if watched, ok := c.(*conn); ok && state == http.StateIdle {
		watched.endRequest()
	}
}

// Ambiguous reports whether the request's length is ambiguous.
func Ambiguous(r *http.Request) bool {
	if !slices.Contains(r.TransferEncoding, "chunked") {
		return false // without chunked encoding net/http itself refuses differing lengths
	}
	watched, ok := r.Context().Value(contextKey{}).(*conn)
	if !ok {
		return false
	}
	return !watched.isUnambiguous(r.Method)
}

// conn records the head of the current request.
type conn struct {
	net.Conn

	mu        sync.Mutex
	head      []byte
	complete  bool // the end of the head has been read
	pipelined bool // the current head began before the end of the previous request
}

// NetConn returns the connection whose heads are recorded.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection and records the bytes of a head. net/http reads a single byte while a handler runs,
// to detect whether the caller has disconnected; that byte is the first of the next request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) == 1 && c.complete {
		c.resetHead()
		c.pipelined = true
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

func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pipelined {
		c.pipelined = false
		return
	}
	c.resetHead()
}

func (c *conn) resetHead() {
	c.head = c.head[:0]
	c.complete = false
}

// isUnambiguous reports whether the head is complete, belongs to a request with the method, and has no
// Content-Length.
func (c *conn) isUnambiguous(method string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.complete || !bytes.HasPrefix(c.head, []byte(method+" ")) {
		return false
	}
	return !bytes.Contains(bytes.ToLower(c.head), []byte("\r\ncontent-length:"))
}
