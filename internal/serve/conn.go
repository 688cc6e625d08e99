package serve

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/result"
)

// lingerFor is how long a connection that was closed without a request is still read. Not measured: a request
// that was sent before the close was seen arrives within a round trip between data centres.
const lingerFor = 200 * time.Millisecond

// writeWithin bounds the writing of the answer on a connection that closes. Not measured: the answer fits into the
// socket's buffer, so that only a process that gets no processor takes long.
const writeWithin = 2 * time.Second

// phase is what a conn's close owes the other side.
type phase string

const (
	// phaseIdle: no request has begun since the last answer, or ever.
	phaseIdle phase = "idle"
	// phaseBusy: a request's handler runs.
	phaseBusy phase = "busy"
	// phaseLast: an answer has said that the connection closes.
	phaseLast phase = "last"
)

// conn is a connection whose close answers a request that crosses it. A server that closes an idle connection
// cannot know whether a request is on its way there: the other side would lose it without a word. So the close
// first writes a 408, which promises that no request was run, and no handler runs a request after that. If a handler
// runs one already, which net/http cannot know either, the connection stays open until the answer is written.
type conn struct {
	net.Conn
	open *atomic.Int64 // counts the connections that were closed and are not yet

	mu        sync.Mutex
	phase     phase
	answering bool // a handler's answer may still be written
	gone      bool // the other side has closed it
	postponed bool // it was closed while a handler ran, and closes after the answer
	closed    bool
}

// connListener accepts connections as conns.
type connListener struct {
	net.Listener
	open *atomic.Int64
}

// Accept returns the next connection.
func (l connListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: socket, open: l.open, phase: phaseIdle}, nil
}

// begin records that a request has begun. It reports false if the connection was closed before, so that the
// request must not run.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.phase = phaseBusy
	c.answering = true
	return true
}

// end records that the request's handler has returned; last says that its answer asks to close the connection.
// net/http still writes the rest of the answer, and closes the connection only after that.
func (c *conn) end(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseIdle
	if last {
		c.phase = phaseLast
	}
}

// idle records that the last answer has been written.
func (c *conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering = false
}

// Read reads from the connection, and fails once that was closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.gone = true
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection, and fails once that was closed. What is written without a handler is
// net/http's own refusal of a request, after which it closes the connection.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answering {
		c.phase = phaseLast
	}
	return !c.closed
}

// SetReadDeadline sets until when Read waits, unless the connection was closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection at once if the last answer has asked for it or the other side has closed it. While a
// handler runs it does nothing: net/http closes the connection again after the answer. Otherwise it says that no
// request was run, and reads what is on its way in the background.
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
		defer c.open.Add(-1)
	}
	if c.phase == phaseLast || c.gone {
		return c.Conn.Close()
	}
	c.open.Add(1)
	go c.linger()
	return nil
}

// postpone counts the connection as open until it is closed again.
func (c *conn) postpone() {
	if !c.postponed {
		c.postponed = true
		c.open.Add(1)
	}
}

// linger writes the answer and discards what comes, since bytes that are unread at the close would have the
// kernel reset the connection and take the answer back.
func (c *conn) linger() {
	defer c.open.Add(-1)
	defer func() { _ = c.Conn.Close() }()
	// The server's own Read ends first: a compressed connection is not written to while its first byte is awaited.
	if err := errors.Join(c.Conn.SetReadDeadline(time.Now()), c.SetWriteDeadline(time.Now().Add(writeWithin))); err != nil {
		return // the connection has ended
	}
	if err := result.WriteConn(c.Conn, result.New(result.ConnectionUnused)); err != nil {
		return // the other side has gone
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerFor)); err != nil {
		return // the connection has ended
	}
	_, _ = io.Copy(io.Discard, c.Conn) // until the other side closes it or the deadline passes
}

// unwrap returns the connection as the listener below accepted it.
func unwrap(c net.Conn) net.Conn {
	if wrapped, ok := c.(*conn); ok {
		return wrapped.Conn
	}
	return c
}

type connKey struct{}

// withConn makes the connection known to runOpen.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// trackIdle follows when the connection's answers end; it is for http.Server.ConnState.
func trackIdle(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*conn); ok && state == http.StateIdle {
		tracked.idle()
	}
}

// runOpen runs requests of open connections alone. net/http has read some requests when it closes their
// connection, and calls the handler all the same.
func runOpen(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if !c.begin() {
			panic(http.ErrAbortHandler)
		}
		last := true // unless the handler returns: one that panics has its connection closed
		defer func() { c.end(last) }()
		handler.ServeHTTP(w, r)
		last = r.Close || w.Header().Get("Connection") == "close"
	})
}
