package backend

import (
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/tideliftd/tidelift/internal/complete"
)

// The states of a TCP connection, as Linux numbers them, after its stream has ended.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// open reports whether an idle connection is open and has nothing to read. Unsolicited bytes
// belong to no request.
func (c *conn) open() bool {
	if _, ok := c.socket.(syscall.Conn); !ok {
		return c.reader.Buffered() == 0
	}
	open := false
	err := c.control(func(fd int) { open = nothingToRead(fd) })
	return err == nil && open
}

// control calls the function with the descriptor of the socket.
func (c *conn) control(f func(fd int)) error {
	system, ok := c.socket.(syscall.Conn)
	if !ok {
		return errors.New("not a socket")
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// stream returns how a connection has ended whose end was read. The kernel reports a reset once: if the request was being
// written, a read may see an ordinary end.
func (c *conn) stream() complete.Stream {
	stream := complete.StreamUnknown
	_ = c.control(func(fd int) { // fails once the connection is closed here
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case err != nil:
		case info.State == tcpCloseWait:
			stream = complete.StreamClosed
		case info.State == tcpClose:
			stream = complete.StreamReset
		}
	})
	return stream
}

func nothingToRead(fd int) bool {
	var one [1]byte
	_, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}
