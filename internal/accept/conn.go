package accept

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout is how long a closing connection is read after its peer has received everything, so that what the peer
	// sent before it saw the close does not cause a reset. It exceeds a round trip between data centres.
	lingerTimeout = 200 * time.Millisecond
	// stallTimeout is how long a peer may receive nothing while there is something for it. It allows for callers that are
	// suspended or busy.
	stallTimeout = 30 * time.Second
	// lingerPollInterval is the interval between checks whether the peer has received everything.
	lingerPollInterval = 50 * time.Millisecond
	// discardSize is the size of the buffer for what a closing connection discards, in bytes.
	discardSize = 4 << 10
)

// past is a deadline that ends pending calls.
var past = time.Unix(1, 0)

// Conn is an accepted connection whose Close does not reset it.
//
// The kernel resets a connection that is closed while it holds unread data, or that receives data after the close, and
// discards what the peer has not received by then. Close therefore sends the end of the stream and returns; in the
// background, the connection is read until the peer closes it or has received everything.
type Conn struct {
	*net.TCPConn

	listener *Listener
	closed   atomic.Bool
	brief    atomic.Bool // Close waits for lingerTimeout, whatever the peer has received
	onClosed func()      // called when the socket is closed; it may be nil
}

// OnClosed sets a function that is called when the socket is closed, which Close does later. It must be called before Close.
func (c *Conn) OnClosed(closed func()) { c.onClosed = closed }

// Reset closes the connection immediately, even if Close is waiting for the peer. What the peer has not received is lost.
func (c *Conn) Reset() {
	unreceived := c.unreceived()
	_ = c.SetLinger(0) // fails only on a closed socket
	_ = c.TCPConn.Close()
	c.reportCut(unreceived)
	_ = c.Close() // fails if it was called before
}

// Of returns the accepted connection below c, which may be wrapped in connections with a method NetConn, as that of tls.Conn;
// nil if there is none.
func Of(c net.Conn) *Conn {
	for {
		if accepted, ok := c.(*Conn); ok {
			return accepted
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// LingerBriefly lets Close wait for lingerTimeout only if the peer has received everything so far, so that what is written
// from now on may be lost. It is for a response to no request, for which a peer that has gone would delay a stop.
func (c *Conn) LingerBriefly() {
	if c != nil && c.unreceived() == 0 {
		c.brief.Store(true)
	}
}

// Read reads from the connection. It fails once the connection is closed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the connection. It fails once the connection is closed.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil && c.closed.Load() {
		return n, net.ErrClosed
	}
	return n, err
}

// SetDeadline sets the deadlines of reads and writes. It fails once the connection is closed.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of reads. It fails once the connection is closed.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes. It fails once the connection is closed.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// Close ends pending calls and closes the connection in the background. Listener.AwaitClosed waits for that.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.listener.lingering.Add(1)
	go func() {
		defer c.listener.lingering.Add(-1)
		if c.onClosed != nil {
			defer c.onClosed()
		}
		defer func() { _ = c.TCPConn.Close() }()
		c.linger()
	}()
	return nil
}

// linger sends the end of the stream and discards what arrives until the peer has received everything.
func (c *Conn) linger() {
	if err := errors.Join(c.TCPConn.SetDeadline(past), c.CloseWrite()); err != nil {
		return // the peer has reset the connection
	}
	progress := lingerProgress{brief: c.brief.Load()}
	for discarded := make([]byte, discardSize); ; {
		if err := c.discard(discarded); err != nil {
			return // the peer has closed the connection, and sends nothing that could cause a reset
		}
		unreceived := c.unreceived()
		if !progress.continues(time.Now(), unreceived) {
			c.reportCut(unreceived)
			return
		}
	}
}

// discard reads what has arrived, or waits lingerPollInterval for it.
func (c *Conn) discard(buffer []byte) error {
	if err := c.TCPConn.SetReadDeadline(time.Now().Add(lingerPollInterval)); err != nil {
		return err
	}
	_, err := c.TCPConn.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// reportCut reports that the peer has not received everything.
func (c *Conn) reportCut(unreceived int) {
	if unreceived > 0 && !c.brief.Load() {
		c.listener.config.OnCut(Cut{Peer: c.RemoteAddr().String(), Unreceived: unreceived})
	}
}

// unreceived returns how many bytes the peer has not acknowledged, including one for the end of the stream. It returns 0 if
// the kernel does not tell.
func (c *Conn) unreceived() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	size := 0
	var queueErr error
	if err := raw.Control(func(fd uintptr) { size, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil || queueErr != nil {
		return 0
	}
	return size
}

// lingerProgress tracks what the peer of a closing connection receives.
type lingerProgress struct {
	brief      bool // the connection is closed after lingerTimeout
	unreceived int
	since      time.Time // when unreceived last changed
}

// continues reports whether the connection must be kept open, given how many bytes the peer has not received.
func (p *lingerProgress) continues(now time.Time, unreceived int) bool {
	if p.since.IsZero() || unreceived != p.unreceived && !p.brief {
		p.unreceived, p.since = unreceived, now
	}
	if unreceived == 0 || p.brief {
		return now.Sub(p.since) < lingerTimeout
	}
	return now.Sub(p.since) < stallTimeout
}
