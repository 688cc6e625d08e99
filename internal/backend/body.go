package backend

import (
	"bufio"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// continueTimeout is how long a backend server may take to request a body with 100 Continue before
// the body is sent anyway. net/http has the same default.
const continueTimeout = time.Second

// errNotContinued means that the backend server answered without requesting the body.
var errNotContinued = errors.New("backend server answered without requesting the body")

// delayedBody is a body that is sent once the backend server requests it.
type delayedBody struct {
	io.ReadCloser
	head    *bufio.Writer // holds the head of the request
	proceed chan bool     // receives true once the body is requested, and false on an answer without a request
	started bool
	// unwanted is set before Read fails because the backend server does not request the body. net/http hides the error.
	unwanted bool
}

func newDelayedBody(body io.ReadCloser, head *bufio.Writer) *delayedBody {
	return &delayedBody{ReadCloser: body, head: head, proceed: make(chan bool, 1)}
}

// report notifies the body whether it is to be sent. It may be called on nil.
func (b *delayedBody) report(requested bool) {
	if b == nil {
		return
	}
	select {
	case b.proceed <- requested:
	default: // already reported
	}
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
	if err := b.head.Flush(); err != nil {
		return err
	}
	timer := time.NewTimer(continueTimeout)
	defer timer.Stop()
	select {
	case requested := <-b.proceed:
		if !requested {
			b.unwanted = true
			return errNotContinued
		}
	case <-timer.C:
	}
	return nil
}
