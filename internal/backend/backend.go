// Package backend sends requests to one backend server over connections that are reused.
//
// net/http's client accepts the next answer on a connection as the answer to its request. Backend
// servers with gray failures send answers twice, late or truncated, and such an answer must not
// reach the wrong caller. This client checks that each answer matches its request, discards answers
// to other requests, and never reuses a connection on which anything unexpected happened.
//
// # Usage
//
//	pool, cleanUp := backend.New(backend.Config{Address: "10.1.0.38:8145", Dial: dialer.DialContext})
//	defer cleanUp()
//	response, err := pool.Do(ctx, request, func(r *http.Response) bool { return r.Header.Get("Request-Id") == id })
//
// Do sends a request once and never retries it. An error that wraps ErrNotSent proves that no byte
// was sent. The body of an answer must be closed; the end of ctx closes the connection.
//
// The pool is in backend.go, one connection in conn.go, the sending of a request in sending.go, the state of a socket in
// open.go, the check whether the backend server has ended in ended.go, and the bodies of requests and answers in body.go and
// answer.go.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotSent means that no connection was made, so nothing was sent.
var ErrNotSent = errors.New("no connection to the backend server")

// Config configures a pool.
type Config struct {
	// Address is the IP:port of the backend server.
	Address string
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnConnect is called for each new connection; it may be nil.
	OnConnect func()
}

// Pool holds the connections to one backend server.
type Pool struct {
	config Config

	mu      sync.Mutex
	idle    []*conn       // ordered by last use, the most recent last
	idleFor time.Duration // how long a connection may stay idle, according to the last answer
	closed  bool
}

// New returns an empty pool and a function that closes its idle connections; connections in use are
// closed with their answers.
func New(config Config) (*Pool, func()) {
	if config.OnConnect == nil {
		config.OnConnect = func() {}
	}
	p := &Pool{config: config, idleFor: defaultIdleTimeout}
	return p, p.closeIdle
}

func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// Do sends the request and returns the head of its answer. The function belongs reports whether an
// answer belongs to the request.
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
	response.Body = &answerBody{
		ReadCloser: response.Body,
		empty:      response.Body == http.NoBody,
		check:      func() error { return p.checkEnd(c, response) },
		done: func(whole bool) {
			stopped := stop()
			p.putIdle(c, whole && stopped && c.reusable(response))
		},
	}
	return response, nil
}

// conn returns an idle connection that is still usable, or a new one.
func (p *Pool) conn(ctx context.Context) (*conn, error) {
	for {
		c, ok := p.takeIdle()
		if !ok {
			return p.connect(ctx)
		}
		if time.Now().Before(c.idleUntil) && c.open() {
			return c, nil
		}
		c.close()
	}
}

// takeIdle removes and returns the most recently used idle connection.
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

// putIdle keeps the connection for another request, or closes it.
func (p *Pool) putIdle(c *conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || p.closed {
		c.close()
		return
	}
	p.idleFor = c.idleFor
	p.idle = append(p.idle, c)
	p.closeStale(time.Now())
}

// closeStale closes the connections that have been idle for too long, starting with the least
// recently used.
func (p *Pool) closeStale(now time.Time) {
	for len(p.idle) > 0 && now.After(p.idle[0].idleUntil) {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}
