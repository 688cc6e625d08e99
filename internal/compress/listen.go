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

// Listen returns a listener that answers in kind: compressed on connections that begin with
// the preface, and as they are on others.
func Listen(listener net.Listener) net.Listener { return inKind{listener} }

type inKind struct{ net.Listener }

// Accept returns the next connection. Of which kind it is shows in its first bytes.
func (l inKind) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &accepted{Conn: socket}, nil
}

// accepted is a connection of which the first bytes tell the kind.
type accepted struct {
	net.Conn

	mu    sync.Mutex
	first []byte   // what has been read to find out
	known net.Conn // of the kind; nil while that is not known
}

// Read reads from the connection as its kind has it.
func (a *accepted) Read(p []byte) (int, error) {
	kind, err := a.kind()
	if err != nil {
		return 0, err
	}
	return kind.Read(p)
}

// Write writes to the connection as its kind has it. Nothing is written before something
// was read.
func (a *accepted) Write(p []byte) (int, error) {
	a.mu.Lock()
	kind := a.known
	a.mu.Unlock()
	if kind == nil {
		kind = a.Conn
	}
	return kind.Write(p)
}

// kind reads the first bytes until they tell the kind. After an error it goes on where that
// left it.
func (a *accepted) kind() (net.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.known == nil {
		var next [1]byte
		n, err := a.Conn.Read(next[:])
		a.first = append(a.first, next[:n]...)
		if n == 0 && errors.Is(err, io.EOF) && len(a.first) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if n == 0 && err != nil {
			return nil, err
		}
		if err := a.decide(); err != nil {
			return nil, err
		}
	}
	return a.known, nil
}

// decide says what the first bytes tell.
func (a *accepted) decide() error {
	switch {
	case len(a.first) > 0 && a.first[0] != preface[0]:
		a.known = &begun{Conn: a.Conn, first: a.first}
	case len(a.first) < len(preface):
	case bytes.Equal(a.first, preface):
		a.known = &conn{Conn: a.Conn}
	default:
		return errVersion
	}
	return nil
}

// begun is a connection of which the first bytes were read before.
type begun struct {
	net.Conn
	first []byte
}

// Read reads the first bytes, and then from the connection.
func (b *begun) Read(p []byte) (int, error) {
	if len(b.first) == 0 {
		return b.Conn.Read(p)
	}
	n := copy(p, b.first)
	b.first = b.first[n:]
	return n, nil
}
