package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxForeign is how many answers to other requests are read past. Source:
	// a backend server that answers twice leaves one behind.
	maxForeign = 2
	// maxForeignBody bounds what is read of such an answer, in bytes. Not measured: reading a
	// longer one takes longer than a new connection.
	maxForeignBody = 1 << 20
	// idleTimeout is how long an idle connection is kept when the backend server does not say.
	// Not measured: most servers keep theirs for a minute or more.
	idleTimeout = 30 * time.Second
	// idlePart is the part of the time that the backend server names for which an idle
	// connection is used. Not measured: so that a request seldom meets its closing.
	idlePart = 0.7
	// bufferSize is the size of a connection's buffers, in bytes.
	bufferSize = 4 << 10
)

// errForeignAnswer means that only answers to other requests came.
var errForeignAnswer = errors.New("answer belongs to another request")

// conn is one connection.
type conn struct {
	socket    net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleFor   time.Duration // how long it may stay idle
	idleUntil time.Time     // until when it may
	foreign   bool          // an answer to another request came
	sent      chan error    // how the sending of the request ended

	// proceed gets true once the backend server asks for the body (100 Continue), and false if
	// it answers without; nil for a request that does not wait for that.
	proceed chan bool
}

// newConn returns a connection over the socket.
func newConn(socket net.Conn) *conn {
	return &conn{
		socket: socket,
		reader: bufio.NewReaderSize(socket, bufferSize),
		writer: bufio.NewWriterSize(socket, bufferSize),
	}
}

func (c *conn) close() { _ = c.socket.Close() }

// send writes the request beside the reading of its answer, since a backend
// server may answer before it has read all of a body.
func (c *conn) send(r *http.Request) {
	c.proceed = nil
	if r.Header.Get("Expect") != "" && r.Body != nil {
		c.proceed = make(chan bool, 1)
		r.Body = &waitingBody{ReadCloser: r.Body, conn: c}
	}
	c.sent = make(chan error, 1)
	if r.Body == nil || r.Body == http.NoBody {
		c.sent <- c.write(r)
		return
	}
	go func() { c.sent <- c.write(r) }()
}

// write writes the request to the connection.
func (c *conn) write(r *http.Request) error {
	err := r.Write(c.writer)
	if errors.Is(err, errNotContinued) {
		return err // the answer is there, and the connection is not used again
	}
	if err != nil {
		c.close() // a part of a request must not be taken for the whole
		return errors.Wrap(err, "send request")
	}
	if err := c.writer.Flush(); err != nil {
		return errors.Wrap(err, "send request")
	}
	return nil
}

// receive reads the head of the request's answer, past answers to others.
func (c *conn) receive(r *http.Request, belongs func(*http.Response) bool) (*http.Response, error) {
	for range maxForeign + 1 {
		response, err := c.readFinal(r)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if belongs(response) {
			return response, nil
		}
		c.foreign = true
		if err := skip(response); err != nil {
			return nil, errors.Wrap(err, "read answer to another request")
		}
	}
	return nil, errForeignAnswer
}

// readFinal reads the head of the next answer that is not an interim one.
func (c *conn) readFinal(r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, r)
		c.reportContinue(err == nil && response.StatusCode == http.StatusContinue)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switches protocols unasked")
		}
	}
}

// skip reads an answer to its end. One that ends with its connection leaves nothing to
// read after it; of one that is too long the rest is left, and the connection is closed.
func skip(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errForeignAnswer
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody+1))
	if err != nil {
		return err
	}
	if n > maxForeignBody {
		return errForeignAnswer
	}
	return response.Body.Close()
}

// reusable reports whether the connection is fit for another request after a
// whole answer, and records for how long.
func (c *conn) reusable(response *http.Response) bool {
	if !c.sentWhole() || c.foreign || response.Close || c.reader.Buffered() > 0 {
		return false
	}
	c.setIdle(time.Now(), idleTimeFrom(response.Header.Get("Keep-Alive")))
	return true
}

// setIdle lets the connection stay idle for so long.
func (c *conn) setIdle(now time.Time, idle time.Duration) {
	c.idleFor, c.idleUntil = idle, now.Add(idle)
}

// sentWhole reports whether the request was sent to its end.
func (c *conn) sentWhole() bool {
	select {
	case err := <-c.sent:
		return err == nil
	default: // it is still being sent
		return false
	}
}

// idleTimeFrom returns how long a connection may stay idle, by the Keep-Alive header.
func idleTimeFrom(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if whole, err := strconv.Atoi(value); err == nil && whole >= 0 {
			return time.Duration(float64(whole) * idlePart * float64(time.Second))
		}
	}
	return idleTimeout
}
