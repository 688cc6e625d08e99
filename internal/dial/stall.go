package dial

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stallLimit is how long a peer that answers may leave no room for more data. No request lasts longer.
	stallLimit = 30 * time.Second
	// stallCheckInterval is the interval between checks of a connection with data to send. It is a fraction of the time that
	// data may stay unacknowledged.
	stallCheckInterval = 500 * time.Millisecond
	// watchedWrite is the size from which a write is watched, in bytes. Less fits into the buffers of both sockets.
	watchedWrite = 16 << 10
	// maxUnansweredProbes is how many probes of a closed window may go unanswered before the peer counts as silent.
	maxUnansweredProbes = 1
)

// Patient returns a function that opens connections which wait for a peer that answers but has no room for more data. The kernel
// applies TCP_USER_TIMEOUT to such a peer too, as if it were silent.
func Patient(config Config) Func {
	dialer := New(config)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		socket, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := socket.(*net.TCPConn)
		if !ok {
			return socket, nil
		}
		return &patientConn{TCPConn: tcp, limit: config.UserTimeout}, nil
	}
}

// patientConn is a connection whose limit on unacknowledged data does not apply while the peer has closed its window.
type patientConn struct {
	*net.TCPConn
	limit    time.Duration
	writing  atomic.Int64
	watching atomic.Bool
}

// Write writes to the connection.
func (c *patientConn) Write(p []byte) (int, error) {
	if len(p) < watchedWrite {
		return c.TCPConn.Write(p)
	}
	defer c.beginWrite()()
	return c.TCPConn.Write(p)
}

// ReadFrom writes what it reads to the connection.
func (c *patientConn) ReadFrom(r io.Reader) (int64, error) {
	defer c.beginWrite()()
	return c.TCPConn.ReadFrom(r)
}

// beginWrite watches the connection until all that is written before the returned function is called has been acknowledged.
func (c *patientConn) beginWrite() (end func()) {
	c.writing.Add(1)
	if !c.watching.Swap(true) {
		go c.watch()
	}
	return func() { c.writing.Add(-1) }
}

// watch sets the limit of the connection by the state of its peer. It ends with the connection, or where the kernel does not tell.
func (c *patientConn) watch() {
	defer c.watching.Store(false)
	patient := false
	for {
		time.Sleep(stallCheckInterval)
		state, ok := c.sendState()
		if !ok {
			return
		}
		if closed := state.windowClosed(); closed != patient {
			patient = closed
			c.setLimit(closed)
		}
		if state.unsent == 0 && c.writing.Load() == 0 {
			return
		}
	}
}

// sendState is the state of the sending side of a socket.
type sendState struct {
	unsent int // bytes that were written and not acknowledged
	flying int // packets that were sent and not acknowledged
	probes int // unanswered probes of a closed window
}

// windowClosed reports whether the peer answers but has no room for what is to be sent: nothing is on its way to it.
func (s sendState) windowClosed() bool {
	return s.unsent > 0 && s.flying == 0 && s.probes <= maxUnansweredProbes
}

func (c *patientConn) sendState() (sendState, bool) {
	var state sendState
	ok := false
	err := c.control(func(fd int) {
		unsent, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err != nil {
			return
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		state, ok = sendState{unsent: unsent, flying: int(info.Unacked), probes: int(info.Probes)}, true
	})
	return state, ok && err == nil
}

func (c *patientConn) setLimit(patient bool) {
	limit := c.limit
	if patient {
		limit = stallLimit
	}
	_ = c.control(func(fd int) { // fails only on a closed socket
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}

func (c *patientConn) control(f func(fd int)) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
