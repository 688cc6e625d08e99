package backend

import (
	"io"
	"time"

	"github.com/go-faster/errors"
)

// continueTimeout is how long a backend server may take to ask for a body that
// waits for it, before it is sent unasked. Source: net/http's default.
const continueTimeout = time.Second

// errNotAsked means that the backend server answered without asking for the body.
var errNotAsked = errors.New("body was not asked for")

// tellAsked lets a body that waits for it be sent, or not.
func (c *conn) tellAsked(asked bool) {
	if c.asked == nil {
		return
	}
	select {
	case c.asked <- asked:
	default: // it is told already
	}
}

// askedBody is a body that is sent once the backend server asks for it.
type askedBody struct {
	io.ReadCloser
	conn  *conn
	begun bool
}

// Read waits for the first piece until the backend server asks for it or has had
// long enough to refuse it.
func (b *askedBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		if err := b.wait(); err != nil {
			return 0, err
		}
	}
	return b.ReadCloser.Read(p)
}

// wait sends the head and waits until the body is asked for, refused or due.
func (b *askedBody) wait() error {
	if err := b.conn.writer.Flush(); err != nil {
		return err
	}
	timer := time.NewTimer(continueTimeout)
	defer timer.Stop()
	select {
	case asked := <-b.conn.asked:
		if !asked {
			return errNotAsked
		}
	case <-timer.C:
	}
	return nil
}
