// Package accept listens for TCP connections and ends a listener without resetting those that wait to be
// accepted. Closing a listening socket resets every connection that the kernel has made and the program has
// not accepted: the other side has connected, and may have sent a request already.
//
// A listener that refuses is bound to an interface that does not exist (SO_BINDTOIFINDEX), so that the kernel
// makes no new connection, and whoever tries is refused at once. Accept goes on returning those that were made
// before, and closes the socket once none has come for a moment. Where the kernel lacks the option, Accept does
// the same without it, which leaves a moment between the last accept and the close.
//
// It owns the sockets. It relies on its user to go on calling Accept until it fails with net.ErrClosed.
//
// # Usage
//
//	listener, err := accept.Listen("127.0.0.1:7400")
//	go server.Serve(listener)
//	...
//	listener.Refuse()
//	listener.Wait(ctx)
package accept

import (
	"context"
	"math"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// quietBound is how long no connection may come before a listener that makes no new ones is closed. Source:
	// the last packet of a handshake that began before is under way for one trip between data centres.
	quietBound = 50 * time.Millisecond
	// quietOpen is the same for a listener that cannot be kept from making new ones. Not measured: each
	// connection that comes within it is accepted.
	quietOpen = time.Millisecond
	// refuseWithin bounds the time from Refuse to the close where connections keep coming. Source: half of the
	// second for which a planned stop serves the connections that it has.
	refuseWithin = 500 * time.Millisecond
	// noInterface is the index of an interface that no host has.
	noInterface = math.MaxInt32
)

// Listener is a TCP listener.
type Listener struct {
	*net.TCPListener

	mu       sync.Mutex
	refusing bool
	quiet    time.Duration // without a connection, after which a refusing listener is closed
	until    time.Time     // when a refusing listener is closed in any case

	closing  sync.Once
	closed   chan struct{}
	closeErr error
}

// Listen opens a listener at the IP:port.
func Listen(address string) (*Listener, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &Listener{TCPListener: socket.(*net.TCPListener), closed: make(chan struct{})}, nil
}

// Accept returns the next connection. After Refuse it returns those that wait, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		refusing := l.limitWait()
		socket, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return socket, err
		}
		if refusing {
			_ = l.Close() // whose error is for whoever closes it
			return nil, net.ErrClosed
		}
	}
}

// limitWait reports whether the listener refuses; if so, the next wait for a connection is short.
func (l *Listener) limitWait() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refusing {
		return false
	}
	deadline := time.Now().Add(l.quiet)
	if deadline.After(l.until) {
		deadline = l.until
	}
	_ = l.SetDeadline(deadline) // fails on a closed socket only, as Accept does then
	return true
}

// Refuse has the kernel make no more connections, and Accept close the listener after those that wait. It
// does not wait for that.
func (l *Listener) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quiet = quietBound
	if err := l.bindNowhere(); err != nil {
		l.quiet = quietOpen
	}
	l.until = time.Now().Add(refuseWithin)
	l.refusing = true
	_ = l.SetDeadline(time.Now()) // wakes Accept; a closed socket needs no waking
}

// bindNowhere has the kernel find no listener for a new connection. Connections that are made stay as they are.
func (l *Listener) bindNowhere() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
	if err != nil {
		return err
	}
	return setErr
}

// Wait returns once a listener that refuses is closed, or when ctx ends.
func (l *Listener) Wait(ctx context.Context) {
	select {
	case <-l.closed:
	case <-ctx.Done():
	}
}

// Close closes the listener at once, which resets the connections that wait.
func (l *Listener) Close() error {
	l.closing.Do(func() {
		l.closeErr = l.TCPListener.Close()
		close(l.closed)
	})
	return l.closeErr
}
