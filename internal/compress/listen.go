package compress

import (
	"bytes"
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errVersion is returned when the peer uses another version of the format.
var errVersion = errors.New("unsupported version of the compression format")

// Listen returns a listener whose connections are compressed in both directions if they start with the preface, and
// left unchanged otherwise.
func Listen(listener net.Listener) net.Listener { return detectingListener{listener} }

// detectingListener accepts compressed and plain connections.
type detectingListener struct{ net.Listener }

// Accept returns the next connection; its first Read detects whether it is compressed.
func (l detectingListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &detectingConn{Conn: socket}, nil
}

// detectingConn is a connection whose first bytes determine whether it is compressed.
type detectingConn struct {
	net.Conn

	mu    sync.Mutex
	first []byte   // bytes read for the detection
	inner net.Conn // the compressed or plain connection; nil until detected
}

// NetConn returns the connection that the listener given to Listen accepted.
func (a *detectingConn) NetConn() net.Conn { return a.Conn }

// Read reads from the connection, and decompresses the data if the connection is compressed.
func (a *detectingConn) Read(p []byte) (int, error) {
	inner, err := a.detect()
	if err != nil {
		return 0, err
	}
	return inner.Read(p)
}

// Write writes to the connection, and compresses the data if the connection is compressed. Before the first read that
// is not known, and data is written uncompressed; servers of requests and calls read first.
func (a *detectingConn) Write(p []byte) (int, error) {
	a.mu.Lock()
	inner := a.inner
	a.mu.Unlock()
	if inner == nil {
		inner = a.Conn
	}
	return inner.Write(p)
}

// detect reads the first bytes until they show whether the connection is compressed. After an error, the next call
// continues where this one stopped.
func (a *detectingConn) detect() (net.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.inner == nil {
		var next [1]byte
		n, err := a.Conn.Read(next[:])
		a.first = append(a.first, next[:n]...)
		if n == 0 && errors.Is(err, io.EOF) && len(a.first) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if n == 0 && err != nil {
			return nil, err
		}
		if err := a.matchPreface(); err != nil {
			return nil, err
		}
	}
	return a.inner, nil
}

// matchPreface sets inner once the first bytes determine the kind of connection.
func (a *detectingConn) matchPreface() error {
	switch {
	case len(a.first) > 0 && a.first[0] != preface[0]:
		a.inner = &replayConn{Conn: a.Conn, first: a.first}
	case len(a.first) < len(preface): // it may still be the preface
	case bytes.Equal(a.first, preface):
		a.inner = &conn{Conn: a.Conn}
	default:
		return errVersion
	}
	return nil
}

// replayConn is a plain connection whose first bytes have already been read.
type replayConn struct {
	net.Conn
	first []byte
}

// Read returns the bytes that were already read, and then reads from the connection.
func (r *replayConn) Read(p []byte) (int, error) {
	if len(r.first) == 0 {
		return r.Conn.Read(p)
	}
	n := copy(p, r.first)
	r.first = r.first[n:]
	return n, nil
}
