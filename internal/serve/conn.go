package serve

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/accept"
	"github.com/tideliftd/tidelift/internal/framing"
	"github.com/tideliftd/tidelift/internal/pipeline"
	"github.com/tideliftd/tidelift/internal/result"
)

// writeTimeout bounds the writing of the response on a connection that closes. The response fits into the socket's
// buffer.
const writeTimeout = 2 * time.Second

// phase is the request state of a conn, which determines what Close must do.
type phase string

const (
	// phaseIdle means that no request has begun since the last response, or ever.
	phaseIdle phase = "idle"
	// phaseBusy means that a request's handler is running.
	phaseBusy phase = "busy"
	// phaseFinal means that a response has announced the close of the connection.
	phaseFinal phase = "last"
)

// conn is a connection that answers a request which arrives while the connection is being closed. A server that
// closes an idle connection cannot know whether a request is already in transit; the client would get no response.
// Close therefore first writes a 408, which guarantees that no request was run, and no handler runs afterwards. If a
// handler is already running, which net/http cannot know, the connection stays open until the response is written.
type conn struct {
	net.Conn
	closing   *atomic.Int64  // connections whose close has begun and not finished
	pipelined *pipeline.Conn // nil if the connection's requests are served one after the other

	mu         sync.Mutex
	phase      phase
	responding bool // a handler's response may still be written
	peerClosed bool // the peer has closed the connection
	postponed  bool // closed while a handler ran; closes after the response
	closed     bool
}

// connListener accepts connections as conns.
type connListener struct {
	net.Listener
	closing *atomic.Int64
}

// Accept returns the next connection, wrapped as a conn.
func (l connListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: socket, closing: l.closing, pipelined: pipeline.From(framing.Unwrap(socket)), phase: phaseIdle}, nil
}

// beginRequest records that a request has begun. It returns false if the connection was closed before, in which case
// the request must not run.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.phase = phaseBusy
	c.responding = true
	return true
}

// endRequest records that the request's handler has returned; last reports whether its response announces the close
// of the connection. net/http writes the rest of the response afterwards, and only then closes the connection.
func (c *conn) endRequest(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseIdle
	if last {
		c.phase = phaseFinal
	}
}

// endResponse records that the last response has been written.
func (c *conn) endResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = false
}

// Read reads from the connection. It fails once the connection is closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerClosed = true
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection. It fails once the connection is closed. Data written while no handler is running is
// net/http's own rejection of a request, after which net/http closes the connection.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.responding {
		c.phase = phaseFinal
	}
	return !c.closed
}

// SetReadDeadline sets the read deadline. It fails once the connection is closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection if the last response announced it, the peer has closed the connection, or requests have
// been started ahead: they may have run, so that the response would not be true.
// While a handler runs it only marks the connection: net/http calls Close again after the response. Otherwise it
// responds in the background that no request was run. The accepted connection (package accept) sends what was written
// before it closes.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil
	case c.phase == phaseBusy:
		c.postpone()
		return nil
	}
	c.closed = true
	if c.postponed {
		defer c.closing.Add(-1)
	}
	if c.phase == phaseFinal || c.peerClosed || c.pipelined.Unanswered() > 0 {
		return c.Conn.Close()
	}
	c.closing.Add(1)
	go c.refuse()
	return nil
}

// postpone counts the connection as closing until Close is called again.
func (c *conn) postpone() {
	if !c.postponed {
		c.postponed = true
		c.closing.Add(1)
	}
}

// refuse writes the response that no request was run, and closes the connection.
func (c *conn) refuse() {
	defer c.closing.Add(-1)
	defer func() { _ = c.Conn.Close() }()
	accept.Of(c.Conn).LingerBriefly()
	// Ends the server's own Read first: a compressed connection cannot be written to while it waits for its first byte.
	if err := errors.Join(c.Conn.SetReadDeadline(time.Now()), c.SetWriteDeadline(time.Now().Add(writeTimeout))); err != nil {
		return // the connection has ended
	}
	_ = result.WriteConn(c.Conn, result.New(result.ConnectionUnused)) // fails if the peer has disconnected
}

// unwrap returns the connection that the underlying listener accepted.
func unwrap(c net.Conn) net.Conn {
	if wrapped, ok := c.(*conn); ok {
		return wrapped.Conn
	}
	return c
}

type connKey struct{}

// withConn stores the connection in the context for trackRequests and the pipeline.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if tracked, ok := c.(*conn); ok && tracked.pipelined != nil {
		ctx = pipeline.ConnContext(ctx, tracked.pipelined)
	}
	return context.WithValue(ctx, connKey{}, c)
}

// trackIdle records when the connection's responses end. It is called from http.Server.ConnState.
func trackIdle(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*conn); ok && state == http.StateIdle {
		tracked.endResponse()
		pipeline.ConnState(tracked.pipelined, state)
	}
}

// trackRequests records the start and end of each request on its connection, and aborts requests on closed
// connections: net/http may have read a request before it closes the connection, and still calls the handler.
func trackRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		last := true // stays true if the handler panics, since net/http then closes the connection
		defer func() { c.endRequest(last) }()
		handler.ServeHTTP(w, r)
		last = r.Close || w.Header().Get("Connection") == "close"
	})
}
