package backend

import (
	"io"
	"time"

	"github.com/go-faster/errors"
)

// continueTimeout is how long a backend server may take to request a body with 100 Continue before
// the body is sent anyway. net/http has the same default.
const continueTimeout = time.Second

// errNotContinued means that the backend server answered without requesting the body.
var errNotContinued = errors.New("backend server answered without requesting the body")

// reportContinue notifies the request's delayed body whether it is to be sent.
func (c *conn) reportContinue(requested bool) {
	if c.proceed == nil {
		return
	}
	select {
	case c.proceed <- requested:
	default: // already reported
	}
}

// delayedBody is a body that is sent once the backend server requests it.
type delayedBody struct {
	io.ReadCloser
	conn    *conn
	started bool
}

// Read waits before the first read until the backend server requests the body or continueTimeout
// has passed.
func (b *delayedBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		if err := b.wait(); err != nil {
			return 0, err
		}
	}
	return b.ReadCloser.Read(p)
}

// wait sends the head and waits until the body is requested, refused or due.
func (b *delayedBody) wait() error {
	if err := b.conn.writer.Flush(); err != nil {
		return err
	}
	timer := time.NewTimer(continueTimeout)
	defer timer.Stop()
	select {
	case requested := <-b.conn.proceed:
		if !requested {
			return errNotContinued
		}
	case <-timer.C:
	}
	return nil
}
