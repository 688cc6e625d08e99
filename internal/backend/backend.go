// Package backend sends requests to one backend server over connections that
// are kept for many requests.
//
// net/http's client takes whatever answer comes next on a connection. Backend
// servers that fail grayly send answers twice, late or cut, and such an answer
// must not reach the wrong caller. This client checks each answer against its
// request, reads past one that belongs to another, and never uses a connection
// again on which anything was odd.
//
// # Usage
//
//	pool, cleanUp := backend.New(backend.Config{Address: "10.1.0.38:8145", Dial: dialer.DialContext})
//	defer cleanUp()
//	response, err := pool.Do(ctx, request, func(r *http.Response) bool { return r.Header.Get("Request-Id") == id })
//
// Do sends a request once; it never sends one again by itself. An error that
// wraps ErrNotSent proves that no byte was sent. The body of an answer must be
// closed; the end of ctx closes the connection.
package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotSent means that no connection was made, so that nothing was sent.
var ErrNotSent = errors.New("no connection to the backend server")

// errForeignAnswer means that only answers to other requests came.
var errForeignAnswer = errors.New("answer belongs to another request")

// errNotAsked means that the backend server answered without asking for the body.
var errNotAsked = errors.New("body was not asked for")

const (
	// continueTimeout is how long a backend server may take to ask for a body
	// that waits for it, before it is sent unasked. Source: net/http's default.
	continueTimeout = time.Second
	// maxForeign is how many answers to other requests are read past. Source:
	// a backend server that answers twice leaves one behind.
	maxForeign = 2
	// maxForeignBody bounds what is read of such an answer, in bytes.
	maxForeignBody = 1 << 20
	// idleTimeout is how long an idle connection is kept when the backend
	// server does not say.
	idleTimeout = 30 * time.Second
	// idlePart is the part of the time that the backend server names for which
	// an idle connection is used, so that a request seldom meets its closing.
	idlePart = 0.7
	// bufferSize is the size of a connection's buffers, in bytes.
	bufferSize = 4 << 10
)

// Config says where the backend server is.
type Config struct {
	// Address is its IP:port.
	Address string
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnConnect is told of each new connection; it may be nil.
	OnConnect func()
}

// Pool is the connections to one backend server.
type Pool struct {
	config Config

	mu    sync.Mutex
	idle  []*conn // the one used last stands last
	ended bool
}

// New returns a pool without connections and a function that closes the idle
// ones; those in use close with their answers.
func New(config Config) (*Pool, func()) {
	if config.OnConnect == nil {
		config.OnConnect = func() {}
	}
	p := &Pool{config: config}
	return p, p.end
}

func (p *Pool) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Do sends the request and returns the head of its answer. The function says
// whether an answer belongs to the request.
func (p *Pool) Do(ctx context.Context, r *http.Request, belongs func(*http.Response) bool) (*http.Response, error) {
	c, err := p.conn(ctx)
	if err != nil {
		return nil, errors.Wrap(errors.Join(ErrNotSent, err), "connect")
	}
	stop := context.AfterFunc(ctx, c.close)
	c.send(r)
	response, err := c.receive(r, belongs)
	if err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	response.Body = &answerBody{ReadCloser: response.Body, empty: response.Body == http.NoBody, done: func(whole bool) {
		inTime := stop()
		p.giveBack(c, whole && inTime && c.reusable(response))
	}}
	return response, nil
}

// conn returns an idle connection that is still good, or a new one.
func (p *Pool) conn(ctx context.Context) (*conn, error) {
	for {
		c, ok := p.takeIdle()
		if !ok {
			return p.connect(ctx)
		}
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) takeIdle() (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil, false
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c, true
}

func (p *Pool) connect(ctx context.Context) (*conn, error) {
	socket, err := p.config.Dial(ctx, "tcp", p.config.Address)
	if err != nil {
		return nil, err
	}
	p.config.OnConnect()
	return newConn(socket), nil
}

// giveBack keeps the connection for another request, or closes it.
func (p *Pool) giveBack(c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || p.ended {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.closeStale(time.Now())
}

// closeStale closes the connections that have rested too long; the one that
// rested longest stands first.
func (p *Pool) closeStale(now time.Time) {
	for len(p.idle) > 0 && now.After(p.idle[0].until) {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}

// conn is one connection.
type conn struct {
	socket net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	until  time.Time // how long it may rest
	odd    bool      // an answer to another request came
	sent   chan error
	whole  bool // the request was sent to its end

	// asked says that the backend server asked for the body, or false that it
	// answered without; nil for a request that does not wait for that.
	asked chan bool
}

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
	c.whole = false
	c.asked = nil
	if r.Header.Get("Expect") != "" && r.Body != nil {
		c.asked = make(chan bool, 1)
		r.Body = &askedBody{ReadCloser: r.Body, conn: c}
	}
	c.sent = make(chan error, 1)
	if r.Body == nil || r.Body == http.NoBody {
		c.sent <- c.write(r)
		return
	}
	go func() { c.sent <- c.write(r) }()
}

func (c *conn) write(r *http.Request) error {
	err := r.Write(c.writer)
	if errors.Is(err, errNotAsked) {
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
		c.odd = true
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
		c.tellAsked(err == nil && response.StatusCode == http.StatusContinue)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switches protocols unasked")
		}
	}
}

// tellAsked lets a body that waits for it be sent, or not.
func (c *conn) tellAsked(asked bool) {
	if c.asked == nil {
		return
	}
	select {
	case c.asked <- asked:
	default: // it is told already
	}
}

// askedBody is a body that is sent once the backend server asks for it.
type askedBody struct {
	io.ReadCloser
	conn  *conn
	begun bool
}

// Read waits for the first piece until the backend server asks for it or has had
// long enough to refuse it.
func (b *askedBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		if err := b.wait(); err != nil {
			return 0, err
		}
	}
	return b.ReadCloser.Read(p)
}

func (b *askedBody) wait() error {
	if err := b.conn.writer.Flush(); err != nil {
		return err
	}
	timer := time.NewTimer(continueTimeout)
	defer timer.Stop()
	select {
	case asked := <-b.conn.asked:
		if !asked {
			return errNotAsked
		}
	case <-timer.C:
	}
	return nil
}

// skip reads an answer to its end. One that ends with its connection leaves
// nothing to read after it.
func skip(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errForeignAnswer
	}
	_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
	return err
}

// reusable says whether the connection is fit for another request after a
// whole answer, and notes for how long.
func (c *conn) reusable(response *http.Response) bool {
	select {
	case err := <-c.sent:
		c.whole = err == nil
	default: // the request is still being sent
	}
	if !c.whole || c.odd || response.Close || c.reader.Buffered() > 0 {
		return false
	}
	c.until = time.Now().Add(restFor(response.Header.Get("Keep-Alive")))
	return true
}

// restFor returns how long a connection may rest, by the Keep-Alive header.
func restFor(header string) time.Duration {
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

// answerBody is the body of an answer; done runs once, at its end or when it is
// closed before.
type answerBody struct {
	io.ReadCloser
	empty bool
	done  func(whole bool)
	once  sync.Once
}

// Read reads on, and gives the connection back at the end.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.done(errors.Is(err, io.EOF)) })
	}
	return n, err
}

// Close gives the connection up unless the body was read to its end.
func (b *answerBody) Close() error {
	b.once.Do(func() { b.done(b.empty) })
	return nil
}
