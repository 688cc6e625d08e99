package backend

import (
	"net"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/complete"
)

// sending is the sending of one request.
type sending struct {
	done chan struct{}
	err  error // set before done is closed
}

func newSending() *sending { return &sending{done: make(chan struct{})} }

// end records the result. It is called once.
func (s *sending) end(err error) {
	s.err = err
	close(s.done)
}

// succeeded reports whether the request was sent to its end.
func (s *sending) succeeded() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// state returns how far the request was sent. Nothing remains to be sent of one whose body was not wanted.
func (s *sending) state() complete.Request {
	select {
	case <-s.done:
		if s.err != nil && !errors.Is(s.err, errNotContinued) {
			return complete.RequestCut
		}
		return complete.RequestSent
	default:
		return complete.RequestSending
	}
}

// sink writes to the socket and remembers its error, to tell it from an error of the body that is written.
type sink struct {
	socket net.Conn
	err    error
}

// Write writes to the socket.
func (s *sink) Write(p []byte) (int, error) {
	n, err := s.socket.Write(p)
	if err != nil {
		s.err = err
	}
	return n, err
}
