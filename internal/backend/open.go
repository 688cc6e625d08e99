package backend

import (
	"net"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// open reports whether an idle connection is open and has nothing to read. Unsolicited bytes
// belong to no request.
func (c *conn) open() bool {
	tcp, ok := c.socket.(*net.TCPConn)
	if !ok {
		return c.reader.Buffered() == 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) { open = nothingToRead(int(fd)) })
	return err == nil && open
}

func nothingToRead(fd int) bool {
	var one [1]byte
	_, _, err := unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return errors.Is(err, unix.EAGAIN)
}
