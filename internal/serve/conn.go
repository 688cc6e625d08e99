package serve

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/accept"
	"github.com/tideliftd/tidelift/internal/framing"
	"github.com/tideliftd/tidelift/internal/guard"
	"github.com/tideliftd/tidelift/internal/pipeline"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

// writeTimeout bounds the writing of the response on a connection that closes. The response fits into the socket's
// buffer.
const writeTimeout = 2 * time.Second

// maxRejecting bounds the connections that are being refused with an answer.
const maxRejecting = 128

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
	guarded   *guard.Conn    // set before the connection is used
	counts    crowdCounts

	mu         sync.Mutex
	phase      phase
	responding bool // a handler's response may still be written
	peerClosed bool // the peer has closed the connection
	postponed  bool // closed while a handler ran; closes after the response
	closed     bool
	taken      int64 // for the current request: its head while it is read, then all of it until net/http is done with it
}

// connListener accepts connections as conns, within the bounds of its guard.
type connListener struct {
	net.Listener
	closing   *atomic.Int64
	guard     *guard.Guard
	counts    crowdCounts
	rejecting *atomic.Int64 // connections that are being refused
}

// Accept returns the next connection, wrapped as a conn. It refuses those for which there is no room.
func (l connListener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: socket, closing: l.closing, counts: l.counts, pipelined: pipeline.From(framing.Unwrap(socket)), phase: phaseIdle}
		if c.open(l.guard) {
			return c, nil
		}
		l.counts.refused.Inc(1)
		l.reject(c)
	}
}

// reject refuses a connection for which there is no room. Those beyond maxRejecting get no answer: each keeps a descriptor until its
// client has received the answer.
func (l connListener) reject(c *conn) {
	accepted := accept.Of(c.Conn)
	if accepted == nil {
		_ = c.Conn.Close()
		return
	}
	rejecting := l.rejecting.Add(1)
	accepted.OnClosed(func() { l.rejecting.Add(-1) })
	if rejecting > maxRejecting {
		accepted.Reset()
		return
	}
	c.closing.Add(1)
	go c.refuse(crowded())
}

// open adds the connection to the guard, and reports whether there is room for it.
func (c *conn) open(g *guard.Guard) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	guarded, ok := g.Open(time.Now(), func(phase guard.Phase) { go c.evict(phase) })
	if !ok {
		return false
	}
	c.guarded = guarded
	if accepted := accept.Of(c.Conn); accepted != nil {
		accepted.OnClosed(guarded.Close)
	}
	c.pipelined.SetAccount(pipeline.Account{
		Take: func(size int64) bool { return guarded.Take(time.Now(), size) },
		Give: guarded.Give,
	})
	return true
}

// evict closes the connection, which waits for its peer, to make room.
func (c *conn) evict(phase guard.Phase) {
	c.mu.Lock() // waits until the connection is set up
	accepted := accept.Of(c.Conn)
	c.mu.Unlock()
	c.counts.evicted.Inc(1)
	if phase == guard.PhaseUnread && accepted != nil {
		accepted.Reset()
		return
	}
	_ = c.Close() // fails only if the peer has disconnected
}

// crowdCounts counts what a listener's guard has decided.
type crowdCounts struct {
	evicted tally.Counter // connections that were closed to make room
	refused tally.Counter // connections, heads and requests without room
}

func newCrowdCounts(scope tally.Scope, listener string) crowdCounts {
	tagged := scope.Tagged(map[string]string{"listener": listener})
	return crowdCounts{evicted: tagged.Counter("connections_evicted"), refused: tagged.Counter("crowd_refused")}
}

func crowded() *result.Error { return result.New(result.Crowded).WithRetryAfter(retryafter.Crowded) }

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

// takeRequest takes room for a request in place of that for its head as it was read, and reports whether there was room.
func (c *conn) takeRequest(r *http.Request) bool {
	c.guarded.Enter(time.Now(), guard.PhaseServing)
	c.giveBack()
	if c.take(guard.RequestCost + guard.HeadersCost(r)) {
		return true
	}
	c.counts.refused.Inc(1)
	return false
}

// takeHead takes room for a piece of a head, and reports whether there was room.
func (c *conn) takeHead(piece []byte) bool {
	c.guarded.Enter(time.Now(), guard.PhaseSending)
	return c.take(guard.HeadCost(len(piece), bytes.Count(piece, []byte("\n"))))
}

// take takes room for the current request, and reports whether there was room. One that was started ahead may have run, so that
// it is never refused.
func (c *conn) take(cost int64) bool {
	now := time.Now()
	if c.pipelined.Unanswered() > 0 {
		c.guarded.Hold(now, cost)
	} else if !c.guarded.Take(now, cost) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken += cost
	return true
}

// giveBack gives back what was taken for the current request.
func (c *conn) giveBack() {
	c.mu.Lock()
	taken := c.taken
	c.taken = 0
	c.mu.Unlock()
	c.guarded.Give(taken)
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

// Read reads from the connection. It fails once the connection is closed. What is read while no request is served belongs to a head;
// one for which there is no room is refused.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	ofHead, closed := c.hasRead(err)
	if closed {
		return 0, net.ErrClosed
	}
	if ofHead && n > 0 && !c.takeHead(p[:n]) {
		c.refuseHead()
		return 0, net.ErrClosed
	}
	return n, err
}

// hasRead records the result of a read. It reports whether what was read belongs to a head, and whether the connection is closed.
func (c *conn) hasRead(err error) (ofHead, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.peerClosed = true
	}
	return c.phase != phaseBusy, c.closed
}

// refuseHead refuses the request whose head is being read.
func (c *conn) refuseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.phase == phaseBusy || c.postponed {
		return
	}
	c.closed = true
	c.closing.Add(1)
	c.counts.refused.Inc(1)
	go c.refuse(crowded())
}

// Write writes to the connection. It fails once the connection is closed. Data written while no handler is running is
// net/http's own rejection of a request, after which net/http closes the connection.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	c.guarded.BeginAnswer(time.Now())
	n, err := c.Conn.Write(p)
	c.guarded.EndAnswer(time.Now(), c.waitsFor())
	return n, err
}

// waitsFor returns what the connection waits for while it does not write.
func (c *conn) waitsFor() guard.Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBusy {
		return guard.PhaseServing
	}
	return guard.PhaseSending // what is left of a body
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
	go c.refuse(result.New(result.ConnectionUnused))
	return nil
}

// postpone counts the connection as closing until Close is called again.
func (c *conn) postpone() {
	if !c.postponed {
		c.postponed = true
		c.closing.Add(1)
	}
}

// refuse writes the response, which says that no request was run, and closes the connection.
func (c *conn) refuse(refusal *result.Error) {
	defer c.closing.Add(-1)
	defer func() { _ = c.Conn.Close() }()
	accept.Of(c.Conn).LingerBriefly()
	// Ends the server's own Read first: a compressed connection cannot be written to while it waits for its first byte.
	if err := errors.Join(c.Conn.SetReadDeadline(time.Now()), c.SetWriteDeadline(time.Now().Add(writeTimeout))); err != nil {
		return // the connection has ended
	}
	_ = result.WriteConn(c.Conn, refusal) // fails if the peer has disconnected
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

// trackGuarded records when the connection's responses end, and when net/http is done with it. It is called from
// http.Server.ConnState.
func trackGuarded(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		tracked.endResponse()
		tracked.becomeIdle()
		pipeline.ConnState(tracked.pipelined, state)
	case http.StateClosed:
		tracked.giveBack()
		tracked.guarded.Enter(time.Now(), guard.PhaseUnread) // until the peer has received the last response
		if accept.Of(tracked.Conn) == nil {
			tracked.guarded.Close()
		}
	case http.StateNew, http.StateActive, http.StateHijacked:
	}
}

// becomeIdle records that the connection waits for a request, unless one behind the last has been started.
func (c *conn) becomeIdle() {
	c.giveBack()
	phase := guard.PhaseIdle
	if c.pipelined.Unanswered() > 0 {
		phase = guard.PhaseServing
	}
	c.guarded.Enter(time.Now(), phase)
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
		defer func() {
			c.endRequest(last)
			c.guarded.Enter(time.Now(), guard.PhaseSending) // what is left of a body
		}()
		if !c.takeRequest(r) {
			w.Header().Set("Connection", "close")
			result.Write(w, crowded())
			return
		}
		closes := serveBeforeBody(handler, w, r)
		last = closes || r.Close || w.Header().Get("Connection") == "close"
	})
}
