package compress

import (
	"bytes"
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// errVersion means that the other side speaks another version of the format.
var errVersion = errors.New("compressed connection of another version")

// Listen returns a listener whose connections are compressed both ways if they begin with the
// preface, and left as they are otherwise.
func Listen(listener net.Listener) net.Listener { return detecting{listener} }

// detecting is a listener for compressed connections and plain ones.
type detecting struct{ net.Listener }

// Accept returns the next connection; the first Read finds out whether it is compressed.
func (l detecting) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &accepted{Conn: socket}, nil
}

// accepted is a connection whose first bytes show whether it is compressed.
type accepted struct {
	net.Conn

	mu    sync.Mutex
	first []byte   // what has been read to find out
	inner net.Conn // the compressed or plain connection; nil while that is not known
}

// Read reads from the connection, decompressed if it is compressed.
func (a *accepted) Read(p []byte) (int, error) {
	inner, err := a.detect()
	if err != nil {
		return 0, err
	}
	return inner.Read(p)
}

// Write writes to the connection, compressed if it is compressed. Before anything was read that
// is not known, and the bytes are written as they are; servers of requests and calls read first.
func (a *accepted) Write(p []byte) (int, error) {
	a.mu.Lock()
	inner := a.inner
	a.mu.Unlock()
	if inner == nil {
		inner = a.Conn
	}
	return inner.Write(p)
}

// detect reads the first bytes until they show whether the connection is compressed. After an
// error the next call goes on where that left it.
func (a *accepted) detect() (net.Conn, error) {
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

// matchPreface sets inner once the first bytes show what it is.
func (a *accepted) matchPreface() error {
	switch {
	case len(a.first) > 0 && a.first[0] != preface[0]:
		a.inner = &replayed{Conn: a.Conn, first: a.first}
	case len(a.first) < len(preface): // it may still be the preface
	case bytes.Equal(a.first, preface):
		a.inner = &conn{Conn: a.Conn}
	default:
		return errVersion
	}
	return nil
}

// replayed is a plain connection whose first bytes were read before.
type replayed struct {
	net.Conn
	first []byte
}

// Read reads the first bytes, and then from the connection.
func (r *replayed) Read(p []byte) (int, error) {
	if len(r.first) == 0 {
		return r.Conn.Read(p)
	}
	n := copy(p, r.first)
	r.first = r.first[n:]
	return n, nil
}
