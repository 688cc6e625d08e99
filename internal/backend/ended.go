package backend

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// endedConnectTimeout bounds the opening of a connection that shows whether the backend server
	// has ended.
	endedConnectTimeout = 100 * time.Millisecond
	// endRecheckDelay is the delay after which CheckEnded checks again. A process that ends closes
	// its sockets one after the other, within some milliseconds.
	endRecheckDelay = 50 * time.Millisecond
	// defaultIdleTimeout is how long a connection made by the check may stay idle until an answer
	// names another time.
	defaultIdleTimeout = time.Second
)

// CheckEnded reports whether the backend server has ended. It must be called right after a
// connection to it was lost. A backend server that still runs has another open connection or
// accepts a new one, which is kept for a request; one that has ended refuses it. Since a process
// that ends does not close all its sockets at the same time, a backend server that seems to run is
// checked again after endRecheckDelay, and onEnded is called if it has ended by then.
func (p *Pool) CheckEnded(onEnded func()) bool {
	open, refused := p.checkListening()
	if open {
		go func() {
			time.Sleep(endRecheckDelay)
			if _, refused := p.checkListening(); refused {
				onEnded()
			}
		}()
	}
	return refused
}

// hasEnded reports whether the backend server has ended, after the time in which a process that ends closes all its sockets.
func (p *Pool) hasEnded() bool {
	if _, refused := p.checkListening(); refused {
		return true
	}
	time.Sleep(endRecheckDelay)
	_, refused := p.checkListening()
	return refused
}

// checkListening reports whether an idle or a new connection is open, or whether a new one was
// refused; both are false on a timeout or another error.
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

// anyIdleOpen reports whether an idle connection is still open, which saves the backend server a
// new one.
func (p *Pool) anyIdleOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, (*conn).open)
}

// addIdle keeps a connection made by the check for as long as others may stay idle.
func (p *Pool) addIdle(c *conn) {
	p.mu.Lock()
	c.setIdle(time.Now(), p.idleFor)
	p.mu.Unlock()
	p.putIdle(c, true)
}

// tryConnect opens a connection, or reports whether it was refused.
func (p *Pool) tryConnect() (c *conn, refused bool) {
	ctx, cancel := context.WithTimeout(context.Background(), endedConnectTimeout)
	defer cancel()
	c, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Is(err, unix.ECONNREFUSED)
	}
	return c, false
}
