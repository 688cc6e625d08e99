// Package dial makes outgoing TCP connections that notice a silent cut.
//
// # Usage
//
//	dialer := dial.New(dial.Config{Connect: 500 * time.Millisecond, Unacknowledged: 2 * time.Second})
//	transport := &http.Transport{DialContext: dialer.DialContext}
//
//	toDaemons := dial.Compressed(dial.New(dial.ToDaemons()), far) // where bytes are dear
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
	// keepAliveIdle is how long a connection rests before it is probed, and
	// keepAliveEvery the pause between probes. Source: a peer that lost power
	// answers none, and its requests should fail within two seconds.
	keepAliveIdle  = time.Second
	keepAliveEvery = 500 * time.Millisecond
	keepAliveCount = 3
	// daemonConnect bounds the opening of a connection to another daemon.
	daemonConnect = 500 * time.Millisecond
	// daemonUnacknowledged is how long bytes to another daemon may stay without an
	// acknowledgement before the connection counts as lost. Source: a lost packet is
	// sent again after 200 and 600 ms; a path that loses three in a row is cut.
	daemonUnacknowledged = 2 * time.Second
)

// Config bounds how long a connection may be silent.
type Config struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// Unacknowledged is how long sent bytes may wait for their acknowledgement
	// before the connection counts as lost.
	Unacknowledged time.Duration
}

// ToDaemons returns the bounds of a connection to another daemon, be it for requests or
// for control calls.
func ToDaemons() Config {
	return Config{Connect: daemonConnect, Unacknowledged: daemonUnacknowledged}
}

// New returns a dialer.
func New(config Config) *net.Dialer {
	return &net.Dialer{
		Timeout: config.Connect,
		Control: userTimeout(config.Unacknowledged),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveEvery,
			Count:    keepAliveCount,
		},
	}
}

// Func opens a connection.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Compressed returns what opens connections by the dialer. Bytes travel compressed to the
// addresses for which far says yes; nil never does.
func Compressed(dialer *net.Dialer, far func(address string) bool) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dialer.DialContext(ctx, network, address)
		if err != nil || far == nil || !far(address) {
			return socket, err
		}
		return compress.Client(socket), nil
	}
}

// userTimeout returns what makes a socket give up once its bytes have not been
// acknowledged for that long. A cut is silent; without it a write to a host that
// is cut off hangs for minutes.
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
