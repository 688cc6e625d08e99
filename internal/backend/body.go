package backend

import (
	"io"
	"time"

	"github.com/go-faster/errors"
)

// continueTimeout is how long a backend server may take to ask for a body that
// waits for it, before it is sent unasked. Source: net/http's default.
const continueTimeout = time.Second

// errNotContinued means that the backend server answered without asking for the body.
var errNotContinued = errors.New("body was not asked for")

// reportContinue lets the request's waiting body be sent, or not.
func (c *conn) reportContinue(asked bool) {
	if c.proceed == nil {
		return
	}
	select {
	case c.proceed <- asked:
	default: // it was reported already
	}
}

// waitingBody is a body that is sent once the backend server asks for it.
type waitingBody struct {
	io.ReadCloser
	conn  *conn
	begun bool
}

// Read waits for the first piece until the backend server asks for it or has had
// long enough to refuse it.
func (b *waitingBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		if err := b.wait(); err != nil {
			return 0, err
		}
	}
	return b.ReadCloser.Read(p)
}

// wait sends the head and waits until the body is asked for, refused or due.
func (b *waitingBody) wait() error {
	if err := b.conn.writer.Flush(); err != nil {
		return err
	}
	timer := time.NewTimer(continueTimeout)
	defer timer.Stop()
	select {
	case asked := <-b.conn.proceed:
		if !asked {
			return errNotContinued
		}
	case <-timer.C:
	}
	return nil
}
