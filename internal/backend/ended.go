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
	// defaultIdle is how long a connection that was made for the check is kept for a request before
	// any answer has said how long connections may stay idle. Not measured: short, since nothing is
	// known of the backend server.
	defaultIdle = time.Second
)

// CheckEnded reports whether the backend server has ended. It is called right after a connection to it
// was lost. One that goes on has left another connection open, or takes a new one, which is then kept
// for a request; one that has ended refuses it. Since a process that ends does not close all its
// sockets at once, that is checked again after endSettles, and later is called if the backend server
// has ended then.
func (p *Pool) CheckEnded(later func()) bool {
	open, refused := p.checkListening()
	if open {
		go func() {
			time.Sleep(endSettles)
			if _, refused := p.checkListening(); refused {
				later()
			}
		}()
	}
	return refused
}

// checkListening reports whether a connection is open, an idle or a new one, or whether a new one was refused; both
// are false if it took too long.
func (p *Pool) checkListening() (open, refused bool) {
	if p.anyIdleOpen() {
		return true, false
	}
	c, refused := p.tryConnect()
	if c != nil {
		p.addIdle(c)
	}
	return c != nil, refused
}

// anyIdleOpen reports whether an idle connection is still open. It spares the backend server a new one: on a
// quiet day with backend servers that break connections there were half as many again without it.
func (p *Pool) anyIdleOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, (*conn).open)
}

// addIdle keeps a connection that was made for the check, for as long as others may stay idle.
func (p *Pool) addIdle(c *conn) {
	p.mu.Lock()
	c.setIdle(time.Now(), p.idleFor)
	p.mu.Unlock()
	p.giveBack(c, true)
}

// tryConnect opens a connection, or reports that it was refused.
func (p *Pool) tryConnect() (c *conn, refused bool) {
	ctx, cancel := context.WithTimeout(context.Background(), endedConnect)
	defer cancel()
	c, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Is(err, unix.ECONNREFUSED)
	}
	return c, false
}
