package backend

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// answerBody is the body of an answer. done runs once, when the body ends or is closed; complete
// reports whether the body was read to its end.
type answerBody struct {
	io.ReadCloser
	empty bool
	done  func(complete bool)
	once  sync.Once
}

// Read reads the body, and releases the connection at its end or on an error.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.done(errors.Is(err, io.EOF)) })
	}
	return n, err
}

// Close gives up the connection unless the body is empty or was read to its end.
func (b *answerBody) Close() error {
	b.once.Do(func() { b.done(b.empty) })
	return nil
}
