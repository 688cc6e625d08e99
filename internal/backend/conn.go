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

	"github.com/tideliftd/tidelift/internal/bound"
	"github.com/tideliftd/tidelift/internal/complete"
	"github.com/tideliftd/tidelift/internal/heads"
)

const (
	// maxMismatched is how many answers to other requests are discarded. A backend server that
	// answers twice leaves one behind.
	maxMismatched = 2
	// maxMismatchedBody bounds the body of such an answer, in bytes. Reading a longer one takes
	// longer than a new connection.
	maxMismatchedBody = 1 << 20
	// idleTimeout is how long an idle connection is kept if the backend server names no timeout.
	idleTimeout = 30 * time.Second
	// idleFraction is the fraction of the timeout named by the backend server for which an idle
	// connection is used, so that a request seldom meets the closing of its connection.
	idleFraction = 0.7
	// maxErrorText bounds what an error quotes of an answer, in bytes.
	maxErrorText = 200
	// bufferSize is the size of each buffer of a connection, in bytes.
	bufferSize = 4 << 10
)

// errMismatchedAnswer means that only answers to other requests were received.
var errMismatchedAnswer = errors.New("answer belongs to another request")

// conn is one connection.
type conn struct {
	socket     net.Conn
	source     *bound.Reader // of recorder; bounds the heads of answers
	recorder   *recorder     // of reader
	reader     *bufio.Reader
	sink       *sink // of writer
	writer     *bufio.Writer
	idleFor    time.Duration // how long the connection may stay idle
	idleUntil  time.Time     // until when the connection may stay idle
	mismatched bool          // an answer to another request was received
	sending    *sending

	// delayed is the body that waits until the backend server requests it; nil for a request that does not.
	delayed *delayedBody
}

// newConn returns a connection over the socket.
func newConn(socket net.Conn) *conn {
	source := bound.NewReader(socket)
	recorder := &recorder{source: source}
	sink := &sink{socket: socket}
	return &conn{
		socket:   socket,
		source:   source,
		recorder: recorder,
		reader:   bufio.NewReaderSize(recorder, bufferSize),
		sink:     sink,
		writer:   bufio.NewWriterSize(sink, bufferSize),
	}
}

func (c *conn) close() { _ = c.socket.Close() }

// send writes the request. A body is sent concurrently with reading the answer, since a backend
// server may answer before it has read all of it.
func (c *conn) send(r *http.Request) {
	c.delayed = nil
	if r.Header.Get("Expect") != "" && r.Body != nil {
		c.delayed = newDelayedBody(r.Body, c.writer)
		r.Body = c.delayed
	}
	c.sending = newSending()
	if r.Body == nil || r.Body == http.NoBody {
		c.sending.end(c.write(r))
		return
	}
	go func(s *sending) { s.end(c.write(r)) }(c.sending)
}

// write writes the request to the connection. If the caller's body fails, it closes the connection, since a truncated request must
// not be taken for a complete one. If the socket fails, or the backend server does not want the body, an answer may
// still be there to be read.
func (c *conn) write(r *http.Request) error {
	err := r.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	switch {
	case err == nil:
		return nil
	case c.delayed != nil && c.delayed.unwanted:
		return errNotContinued
	case c.sink.err == nil:
		c.close()
	}
	return errors.Wrap(err, "send request")
}

// receive reads the head of the request's answer and discards answers to other requests.
func (c *conn) receive(r *http.Request, belongs func(*http.Response) bool) (*http.Response, error) {
	for range maxMismatched + 1 {
		response, err := c.readFinal(r)
		if err != nil {
			return nil, readError(err)
		}
		if belongs(response) {
			return response, nil
		}
		c.mismatched = true
		if err := discard(response); err != nil {
			return nil, errors.Wrap(err, "read answer to another request")
		}
	}
	return nil, errMismatchedAnswer
}

// readFinal reads the head of the next answer that is not an interim (1xx) one. All these heads together are bounded.
func (c *conn) readFinal(r *http.Request) (*http.Response, error) {
	c.source.Allow(bound.AnswerHead)
	defer c.source.AllowAll()
	for {
		response, err := c.readHead(r)
		c.delayed.report(err == nil && response.StatusCode == http.StatusContinue)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols without a request to")
		}
	}
}

// readHead reads and checks the head of the next answer.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	begun, _ := c.reader.Peek(c.reader.Buffered()) // never fails
	c.recorder.start(begun)
	defer c.recorder.stop()
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, err
	}
	text := c.recorder.text
	if err := heads.CheckAnswer(text[:len(text)-c.reader.Buffered()]); err != nil {
		return nil, err
	}
	return response, nil
}

// readError returns the error of reading a head. Those of net/http quote what was sent, which may be a whole head.
func readError(err error) error {
	if text := err.Error(); len(text) > maxErrorText {
		return errors.Errorf("read answer: %s ...", text[:maxErrorText])
	}
	return errors.Wrap(err, "read answer")
}

// discard reads an answer to its end. It returns an error, after which the connection is closed, if
// the answer ends with its connection or its body is too long.
func discard(response *http.Response) error {
	if complete.FramingOf(response) == complete.FramingClose {
		return errMismatchedAnswer
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBody+1))
	if err != nil {
		return err
	}
	if n > maxMismatchedBody {
		return errMismatchedAnswer
	}
	return response.Body.Close()
}

// reusable reports whether the connection can be reused after a complete answer, and records for
// how long.
func (c *conn) reusable(response *http.Response) bool {
	if !c.sending.succeeded() || c.mismatched || response.Close || c.reader.Buffered() > 0 {
		return false
	}
	c.setIdle(time.Now(), idleTimeFrom(response.Header.Get("Keep-Alive")))
	return true
}

// setIdle sets how long the connection may stay idle from now on.
func (c *conn) setIdle(now time.Time, idle time.Duration) {
	c.idleFor, c.idleUntil = idle, now.Add(idle)
}

// idleTimeFrom returns how long a connection may stay idle according to the Keep-Alive header.
func idleTimeFrom(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * idleFraction * float64(time.Second))
		}
	}
	return idleTimeout
}
