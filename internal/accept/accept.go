// Package accept listens for TCP connections, and closes listeners and connections without resetting a connection.
// Closing a listening socket resets every connection that the kernel has established and the program has not
// accepted: the client has connected, and may already have sent a request. Closing a connection resets it if there is
// unread data or any arrives later: the peer may not have received the last response (conn.go).
//
// After Refuse, the listener is bound to an interface that does not exist (SO_BINDTOIFINDEX), so that the kernel
// refuses new connections immediately. Accept continues to return connections that were established before, and
// closes the socket once none has arrived for a short time and the accept queue is empty, however long a slow program
// takes. Where the kernel does not support the option, Accept does the same without it, for a limited time;
// connections established between the last accept and the close are then reset.
//
// The package owns the sockets. It relies on its user to call Accept until it fails with net.ErrClosed.
//
// # Usage
//
//	listener, err := accept.Listen(accept.Config{Address: "127.0.0.1:7400", OnCut: logCut})
//	go server.Serve(listener)
//	...
//	listener.Refuse()
//	listener.Wait(ctx)
//	listener.AwaitClosed(ctx) // after the last call of a connection's Close
package accept

import (
	"context"
	"math"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// drainIdleTimeout is how long a listener that refuses new connections waits for queued ones before it is closed.
	// The last packet of a handshake that began before Refuse arrives within one trip between data centres.
	drainIdleTimeout = 50 * time.Millisecond
	// fallbackIdleTimeout replaces drainIdleTimeout where the kernel cannot refuse new connections. Each connection that
	// arrives within it is accepted.
	fallbackIdleTimeout = time.Millisecond
	// fallbackTimeout bounds the time from Refuse to the close where the kernel cannot refuse new connections. It must be
	// well below the second for which a planned stop serves existing connections.
	fallbackTimeout = 500 * time.Millisecond
	// invalidInterface is an interface index that no host uses.
	invalidInterface = math.MaxInt32
	// closePollInterval is the interval between checks whether all closing connections are closed.
	closePollInterval = 5 * time.Millisecond
)

// Config configures a Listener.
type Config struct {
	// Address is the IP:port to listen at.
	Address string
	// OnCut is called for each connection that is closed before its peer has received everything; it may be nil.
	OnCut func(Cut)
}

// Cut describes a connection that was closed before its peer had received everything.
type Cut struct {
	// Peer is the peer's IP:port.
	Peer string
	// Unreceived is how many bytes the peer had not received.
	Unreceived int
}

// Listener is a TCP listener.
type Listener struct {
	*net.TCPListener
	config    Config
	lingering atomic.Int64 // connections that are being closed

	mu          sync.Mutex
	refusing    bool
	idleTimeout time.Duration // a refusing listener is closed after this time without a connection
	closeAt     time.Time     // deadline for closing a refusing listener that still gets new connections, else zero

	closing  sync.Once
	closed   chan struct{}
	closeErr error
}

// Listen opens a listener.
func Listen(config Config) (*Listener, error) {
	if config.OnCut == nil {
		config.OnCut = func(Cut) {}
	}
	socket, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", config.Address)
	}
	return &Listener{TCPListener: socket.(*net.TCPListener), config: config, closed: make(chan struct{})}, nil
}

// Accept returns the next connection. After Refuse it returns the queued connections, and then net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		refusing := l.limitAccept()
		socket, err := l.AcceptTCP()
		if err == nil {
			return &Conn{TCPConn: socket, listener: l}, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		// An accept that starts after its deadline fails without a look at the queue.
		if refusing && (l.expired() || !l.hasQueued()) {
			_ = l.Close() // the user's own call of Close returns the same error
			return nil, net.ErrClosed
		}
	}
}

// limitAccept reports whether the listener refuses new connections. If so, it sets a short deadline for the next accept.
func (l *Listener) limitAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refusing {
		return false
	}
	deadline := time.Now().Add(l.idleTimeout)
	if !l.closeAt.IsZero() && deadline.After(l.closeAt) {
		deadline = l.closeAt
	}
	_ = l.SetDeadline(deadline) // fails only on a closed socket, as does Accept
	return true
}

// expired reports whether the listener must close although connections may be queued.
func (l *Listener) expired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closeAt.IsZero() && !time.Now().Before(l.closeAt)
}

// hasQueued reports whether a connection is in the accept queue.
func (l *Listener) hasQueued() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false // the socket is closed
	}
	queued := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}} //nolint:gosec // a descriptor fits
		n, pollErr := unix.Poll(polled, 0)
		queued = n > 0 || errors.Is(pollErr, unix.EINTR) // looks again after the next accept
	})
	return err == nil && queued
}

// Refuse makes the kernel refuse new connections, and Accept close the listener after the queued ones. It does not
// wait for the close.
func (l *Listener) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idleTimeout = drainIdleTimeout
	if err := l.bindInvalidInterface(); err != nil {
		l.idleTimeout = fallbackIdleTimeout
		l.closeAt = time.Now().Add(fallbackTimeout)
	}
	l.refusing = true
	_ = l.SetDeadline(time.Now()) // wakes Accept; fails only on a closed socket
}

// bindInvalidInterface makes the kernel refuse new connections. Established connections are not affected.
func (l *Listener) bindInvalidInterface() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, invalidInterface)
	})
	if err != nil {
		return err
	}
	return setErr
}

// Wait returns once the listener is closed after Refuse, or when ctx ends.
func (l *Listener) Wait(ctx context.Context) {
	select {
	case <-l.closed:
	case <-ctx.Done():
	}
}

// AwaitClosed waits until the connections whose Close was called are closed, or ctx ends. It returns how many are not: a
// process that ends then resets them.
func (l *Listener) AwaitClosed(ctx context.Context) int {
	for l.lingering.Load() > 0 && wait.For(ctx, closePollInterval) {
	}
	return int(l.lingering.Load())
}

// Close closes the listener immediately, which resets the queued connections.
func (l *Listener) Close() error {
	l.closing.Do(func() {
		l.closeErr = l.TCPListener.Close()
		close(l.closed)
	})
	return l.closeErr
}
