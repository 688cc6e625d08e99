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
//
// The pool is in backend.go, one connection in conn.go, with the check of an idle one
// in open.go, whether the backend server has ended in ended.go, and the bodies of requests and answers in body.go and answer.go.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotSent means that no connection was made, so that nothing was sent.
var ErrNotSent = errors.New("no connection to the backend server")

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

	mu      sync.Mutex
	idle    []*conn       // the one used last stands last
	idleFor time.Duration // how long a connection may stay idle, by the last answer
	ended   bool
}

// New returns a pool without connections and a function that closes the idle
// ones; those in use close with their answers.
func New(config Config) (*Pool, func()) {
	if config.OnConnect == nil {
		config.OnConnect = func() {}
	}
	p := &Pool{config: config, idleFor: defaultIdle}
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
		if time.Now().Before(c.idleUntil) && c.open() {
			return c, nil
		}
		c.close()
	}
}

// takeIdle takes the idle connection that was used last.
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
	p.idleFor = c.idleFor
	p.idle = append(p.idle, c)
	p.closeStale(time.Now())
}

// closeStale closes the connections that have been idle for too long; the one that was used
// longest ago stands first.
func (p *Pool) closeStale(now time.Time) {
	for len(p.idle) > 0 && now.After(p.idle[0].idleUntil) {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}
