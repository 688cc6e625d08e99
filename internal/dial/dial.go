// Package dial makes outgoing TCP connections that notice a silent cut: to backend servers,
// other daemons and the platform's store. A cut drops packets and closes nothing, so that a
// plain connection waits for minutes.
//
// It keeps no connections; whoever dials owns them. It relies on Linux's TCP_USER_TIMEOUT and
// keep-alive.
//
// # Usage
//
//	dialer := dial.New(dial.Config{Connect: 500 * time.Millisecond, Unacknowledged: 2 * time.Second})
//	transport := &http.Transport{DialContext: dialer.DialContext}
//
//	toDaemons := dial.Compressed(dial.New(dial.ToDaemons()), far) // compressed to other data centres
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tideliftd/tidelift/internal/compress"
)

const (
	// keepAliveIdle is how long a connection rests before it is probed, keepAliveEvery the
	// pause between probes, and keepAliveCount how many may go unanswered. Source: a peer
	// that lost power answers none; together they end its connections after 2.5 seconds.
	keepAliveIdle  = time.Second
	keepAliveEvery = 500 * time.Millisecond
	keepAliveCount = 3
	// daemonConnect bounds the opening of a connection to another daemon. Not measured: many
	// round trips between data centres, and less than the second after which a lost first
	// packet is sent again.
	daemonConnect = 500 * time.Millisecond
	// daemonUnacknowledged is how long bytes to another daemon may stay without an
	// acknowledgement before the connection counts as lost. Source: a lost packet is
	// sent again after 200 and 600 ms; a path that loses three in a row is cut.
	daemonUnacknowledged = 2 * time.Second
)

// Config bounds how long a connection may be silent. Both times are required.
type Config struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent bytes may wait for their acknowledgement
	// before the connection counts as lost.
	UserTimeout time.Duration
}

// ToDaemons returns the bounds of a connection to another daemon, be it for requests or
// for control calls.
func ToDaemons() Config {
	return Config{ConnectTimeout: daemonConnect, UserTimeout: daemonUnacknowledged}
}

// New returns a dialer whose connections fail once the peer has been silent for as long as the
// bounds allow.
func New(config Config) *net.Dialer {
	return &net.Dialer{
		Timeout: config.ConnectTimeout,
		Control: userTimeout(config.UserTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveEvery,
			Count:    keepAliveCount,
		},
	}
}

// Func opens a connection; it is the type of http.Transport's DialContext.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Compressed returns a function that opens connections by the dialer, with bytes compressed to
// the addresses for which far reports true; a nil far compresses none.
func Compressed(dialer *net.Dialer, far func(address string) bool) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dialer.DialContext(ctx, network, address)
		if err != nil || far == nil || !far(address) {
			return socket, err
		}
		return compress.Client(socket), nil
	}
}

// userTimeout returns a net.Dialer's Control that sets TCP_USER_TIMEOUT: the socket fails once
// its bytes have not been acknowledged for that long.
func userTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}
}
