package pipeline

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// pieceSize is the size of one read from the socket, in bytes. Heads of callers have less than 1 KB.
const pieceSize = 4 << 10

// Conn is a caller's connection. It gives net/http one request at a time and starts those behind it. A nil Conn has no
// requests.
type Conn struct {
	net.Conn
	raw      syscall.RawConn
	pipeline *Pipeline
	memory   memory

	reading sync.Mutex      // held by Read
	piece   [pieceSize]byte // used by Read

	mu         sync.Mutex
	stream     *stream
	executions map[int64]*execution // requests started ahead and not answered, by position
	base       context.Context      // holds the values of the context of a connection's requests
	deadline   time.Time            // of reads
	readErr    error                // why nothing more can be read
	endedAt    int64                // the position of the request during which readErr was seen
	closed     bool
}

func newConn(p *Pipeline, socket net.Conn, raw syscall.RawConn) *Conn {
	return &Conn{
		Conn:       socket,
		raw:        raw,
		pipeline:   p,
		memory:     memory{limit: maxRecorded},
		stream:     newStream(p.config.Limit, p.config.MayStart),
		executions: make(map[int64]*execution),
	}
}

// SetAccount sets the bound on what the connection holds. It must be called before the connection is used; c may be nil.
func (c *Conn) SetAccount(account Account) {
	if c != nil {
		c.stream.account, c.memory.account = account, account
	}
}

// NetConn returns the connection that the listener given to Listen accepted.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection, but nothing of the next request before the current one is answered. net/http never
// calls it concurrently, but a connection that is closed may be drained while net/http's last read has not returned.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	for {
		n, direct, err := c.takeBuffered(p)
		if n > 0 || err != nil {
			return n, err
		}
		if direct > 0 {
			return c.readDirect(p[:direct])
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
}

// takeBuffered copies what net/http may read of the buffer. If that is nothing, direct is how much it may read from the
// socket at once.
func (c *Conn) takeBuffered(p []byte) (n, direct int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, 0, net.ErrClosed
	}
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return 0, 0, os.ErrDeadlineExceeded
	}
	if n := c.stream.take(p); n > 0 {
		return n, 0, nil
	}
	return 0, c.stream.direct(len(p)), c.readErr
}

// readDirect reads from the socket what need not be inspected.
func (c *Conn) readDirect(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream.passOn(p[:n])
	c.checkError(err)
	return n, err
}

// fill reads from the socket into the buffer, and starts requests that have become complete. If the buffer is full, it
// waits until the caller disconnects.
func (c *Conn) fill() error {
	room := c.room()
	if room == 0 {
		return c.awaitDisconnect()
	}
	n, err := c.Conn.Read(c.piece[:min(room, pieceSize)])
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.stream.add(c.piece[:n])
		c.startAhead()
		return nil // an error is returned again by the next read
	}
	c.checkError(err)
	return err
}

func (c *Conn) room() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stream.room()
}

// awaitDisconnect waits until the caller closes or resets the connection, which the kernel reports although there is
// unread data. Go's poller wakes the function whenever the state of the socket changes.
func (c *Conn) awaitDisconnect() error {
	err := c.raw.Read(func(fd uintptr) bool {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // a descriptor fits
		n, pollErr := unix.Poll(polled, 0)
		for errors.Is(pollErr, unix.EINTR) {
			n, pollErr = unix.Poll(polled, 0)
		}
		return n > 0
	})
	if err == nil {
		err = io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkError(err)
	return err
}

// checkError ends all requests that were started ahead, and drops those that have not begun, if err says that the caller
// has disconnected. The mutex must be held.
func (c *Conn) checkError(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.readErr, c.endedAt = err, c.stream.position
	c.stream.drop()
	c.discardAll()
}

// discardAll ends all requests that were started ahead. The mutex must be held.
func (c *Conn) discardAll() {
	c.stream.forget()
	for position, e := range c.executions {
		if e.answering {
			e.cancel() // deliver reports the end
			continue
		}
		e.discard()
		c.remove(position, e)
	}
}

// remove forgets a request that was started ahead. The mutex must be held.
func (c *Conn) remove(position int64, e *execution) {
	delete(c.executions, position)
	c.stream.account.give(e.cost)
	c.pipeline.unanswered.Add(-1)
	if !e.delivered || c.readErr != nil {
		c.pipeline.discarded.Inc(1)
	}
}

// begin records that net/http serves the request. It returns the execution if the request was started ahead, and starts
// those behind it. It returns false if the caller disconnected before: net/http may have read a request behind one whose
// end is not known.
func (c *Conn) begin(r *http.Request) (*execution, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	position := c.stream.begin()
	if c.readErr != nil && c.endedAt < position {
		return nil, false
	}
	c.base = context.WithoutCancel(r.Context())
	e := c.executions[position]
	if e != nil && (!bytes.Equal(e.head, c.stream.head) || !e.matches(r)) {
		c.stream.giveUp()
		c.discardAll()
		e = nil
	}
	if e != nil {
		e.answering = true
	}
	c.startAhead()
	return e, true
}

// startAhead starts the requests that may be started. The mutex must be held.
func (c *Conn) startAhead() {
	for !c.closed && c.readErr == nil && !c.pipeline.stopping.Load() {
		next, ok := c.stream.next()
		if !ok {
			return
		}
		c.start(next)
	}
}

// start runs the handler for the request. The mutex must be held.
func (c *Conn) start(s started) {
	ctx, cancel := context.WithCancel(c.base)
	s.request = s.request.WithContext(ctx)
	s.request.RemoteAddr = c.RemoteAddr().String()
	e := &execution{started: s, answer: newAnswer(&c.memory, c.pipeline.config.ErrorLog), cancel: cancel}
	c.executions[s.position] = e
	c.pipeline.unanswered.Add(1)
	c.pipeline.started.Inc(1)
	go e.run(c.pipeline.config.Handler)
}

// answered records that the request's answer has been written, as far as it could be.
func (c *Conn) answered(e *execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(e.position, e)
}

// Write writes to the connection. From the first write on, no request is started behind the current one: what arrives may
// be sent by a caller that has received the answer and sends one request at a time. It waits for net/http.
func (c *Conn) Write(p []byte) (int, error) {
	c.stopStarting()
	return c.Conn.Write(p)
}

func (c *Conn) stopStarting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream.serving = false
}

// endRequest records that net/http reads the next request.
func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream.end()
}

// Unanswered returns how many requests were started ahead and are not yet answered.
func (c *Conn) Unanswered() int {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.executions)
}

// Behind returns how many requests behind the current one have been started.
func (c *Conn) Behind() int {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	behind := len(c.executions)
	if _, ok := c.executions[c.stream.position]; ok {
		behind--
	}
	return behind
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.stream.deadline = !t.IsZero()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close closes the connection and ends all requests that were started ahead.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.stream.drop()
	c.discardAll()
	return c.Conn.Close()
}

// ConnState records where one request ends and the next begins. It is for http.Server.ConnState; c may be nil.
func ConnState(c *Conn, state http.ConnState) {
	if c != nil && state == http.StateIdle {
		c.endRequest()
	}
}
