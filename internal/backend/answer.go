package backend

import (
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/heads"
)

// answerBody is the body of an answer. done runs once, when the body ends or is closed; complete
// reports whether the body was read to its end.
type answerBody struct {
	io.ReadCloser
	empty bool
	check func() error // at the end of the body
	done  func(complete bool)
	once  sync.Once
}

// Read reads the body, and releases the connection at its end or on an error.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := b.check(); failure != nil {
			err = failure
		}
	}
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

// checkTrailer returns an error if a trailer is invalid.
func checkTrailer(response *http.Response) error {
	if err := heads.CheckFields(response.Trailer); err != nil {
		return errors.Wrap(err, "trailer")
	}
	return nil
}
