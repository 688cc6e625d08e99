package backend

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// endedConnect bounds the opening of a connection that shows whether the backend server has
	// ended. Source: on the same host a connection is made or refused within microseconds.
	endedConnect = 100 * time.Millisecond
	// endSettles is for how long another connection has to stay open after one was lost, to show that
	// the backend server goes on. Source: a process that ends closes its sockets one after the other,
	// within some milliseconds.
	endSettles = 50 * time.Millisecond
	// freshRest is how long a connection that was made for the question is kept for a request before
	// any answer has said how long connections may rest.
	freshRest = time.Second
)

// Ended reports whether the backend server has ended, which it is asked right after a connection to it
// was lost. One that goes on has left another connection open, or takes the next one, which is then
// kept for a request; one that has ended refuses it. Since a process that ends does not close all at
// once, the question is put again a moment later, and later is called if the backend server has ended
// then.
func (p *Pool) Ended(later func()) bool {
	open, refused := p.listens()
	if open {
		go func() {
			time.Sleep(endSettles)
			if _, refused := p.listens(); refused {
				later()
			}
		}()
	}
	return refused
}

// listens reports whether a connection is open, be it one that rests or a new one, or whether a new one was
// refused; neither is known if it took too long.
func (p *Pool) listens() (open, refused bool) {
	if p.anyOpen() {
		return true, false
	}
	c, refused := p.knock()
	if c != nil {
		p.keep(c)
	}
	return c != nil, refused
}

// anyOpen reports whether a connection that rests is open still. It spares the backend server a new one: on a
// quiet day with backend servers that break connections there were half as many again without it.
func (p *Pool) anyOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, (*conn).quiet)
}

// keep keeps a connection that was made for the question, for as long as others may rest.
func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	c.restFrom(time.Now(), p.rest)
	p.mu.Unlock()
	p.giveBack(c, true)
}

// knock opens a connection, or says that it was refused.
func (p *Pool) knock() (c *conn, refused bool) {
	ctx, cancel := context.WithTimeout(context.Background(), endedConnect)
	defer cancel()
	c, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Is(err, unix.ECONNREFUSED)
	}
	return c, false
}
