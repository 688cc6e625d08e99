package accept

import (
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// Conn is an accepted connection.
type Conn struct {
	*net.TCPConn

	listener *Listener
	closed   atomic.Bool
}

// Close closes the connection.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	unread, unreceived := c.queued(unix.SIOCINQ), c.queued(unix.SIOCOUTQ)
	if unreceived > 0 && unread > 0 {
		c.listener.config.OnCut(Cut{Peer: c.RemoteAddr().String(), Unreceived: unreceived, Unread: unread})
	}
	return c.TCPConn.Close()
}

// queued returns the size of one of the socket's queues in bytes, or 0 if the kernel does not tell.
func (c *Conn) queued(queue uint) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	size := 0
	var queueErr error
	if err := raw.Control(func(fd uintptr) { size, queueErr = unix.IoctlGetInt(int(fd), queue) }); err != nil || queueErr != nil {
		return 0
	}
	return size
}
