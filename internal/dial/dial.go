// Package dial makes outgoing TCP connections that detect silent packet loss: to backend servers, other daemons and
// the platform's store. When packets are dropped and no connection is closed, a plain connection hangs for minutes.
//
// The package keeps no connections; the caller owns them. It relies on Linux's TCP_USER_TIMEOUT and keep-alive.
//
// # Usage
//
//	dialer := dial.New(dial.Config{ConnectTimeout: 500 * time.Millisecond, UserTimeout: 2 * time.Second})
//	transport := &http.Transport{DialContext: dialer.DialContext}
//
//	requests := dial.Patient(dial.ToDaemons())                      // wait for a peer that does not read
//	requests = dial.Compressed(requests, shouldCompress)            // compressed to other data centres
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
	// keepAliveIdle is how long a connection is idle before it is probed, keepAliveInterval the time between probes,
	// and keepAliveCount how many probes may go unanswered. Together they close an idle connection to a host that lost
	// power after 2.5 seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// daemonConnectTimeout bounds the opening of a connection to another daemon. It is shorter than the second after
	// which a lost first packet is sent again.
	daemonConnectTimeout = 500 * time.Millisecond
	// daemonUserTimeout is how long data sent to another daemon may stay unacknowledged before the connection counts as
	// lost. It allows for the retransmissions of a lost packet after 200 and 600 ms.
	daemonUserTimeout = 2 * time.Second
)

// Config holds the timeouts of connections. Both are required.
type Config struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged before the connection counts as lost
	// (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
}

// ToDaemons returns the timeouts of connections to other daemons, for both requests and control calls.
func ToDaemons() Config {
	return Config{ConnectTimeout: daemonConnectTimeout, UserTimeout: daemonUserTimeout}
}

// New returns a dialer whose connections fail when the peer does not respond within the configured timeouts.
func New(config Config) *net.Dialer {
	return &net.Dialer{
		Timeout: config.ConnectTimeout,
		Control: setUserTimeout(config.UserTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}

// Func opens a connection, as http.Transport's DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// Compressed returns a function that opens connections with open and compresses those to the addresses for
// which shouldCompress reports true. If shouldCompress is nil, none are compressed.
func Compressed(open Func, shouldCompress func(address string) bool) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := open(ctx, network, address)
		if err != nil || shouldCompress == nil || !shouldCompress(address) {
			return socket, err
		}
		return compress.Client(socket), nil
	}
}

// setUserTimeout returns a Control function for net.Dialer that sets TCP_USER_TIMEOUT: the socket fails if sent data
// is not acknowledged within limit.
func setUserTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
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
