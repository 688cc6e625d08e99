package backend

import (
	"io"
	"sync"

	"github.com/go-faster/errors"
)

// answerBody is the body of an answer; done runs once, at its end or when it is
// closed before.
type answerBody struct {
	io.ReadCloser
	empty bool
	done  func(whole bool)
	once  sync.Once
}

// Read reads on, and gives the connection back at the end.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.once.Do(func() { b.done(errors.Is(err, io.EOF)) })
	}
	return n, err
}

// Close gives the connection up unless the body was read to its end.
func (b *answerBody) Close() error {
	b.once.Do(func() { b.done(b.empty) })
	return nil
}
