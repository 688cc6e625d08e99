package backend

import (
	"io"
	"net/http"
	"sync"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/complete"
	"github.com/tideliftd/tidelift/internal/heads"
)

// answerBody is the body of an answer. done runs once, when the body ends or is closed; whole
// reports whether the body was read to its end and is complete.
type answerBody struct {
	io.ReadCloser
	empty bool
	check func() error // at the end of the body
	done  func(whole bool)
	once  sync.Once
	end   error // what Read returns once the body has ended
}

// Read reads the body, and releases the connection at its end or on an error.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		if failure := b.check(); failure != nil {
			err = failure
		}
	}
	b.end = err
	b.once.Do(func() { b.done(errors.Is(err, io.EOF)) })
	return n, err
}

// Close gives up the connection unless the body is empty or was read to its end.
func (b *answerBody) Close() error {
	b.once.Do(func() { b.done(b.empty) })
	return nil
}

// checkEnd returns an error if an answer that was read to its end may be incomplete.
func (p *Pool) checkEnd(c *conn, response *http.Response) error {
	if err := heads.CheckFields(response.Trailer); err != nil {
		return errors.Wrap(err, "trailer")
	}
	end := complete.End{Framing: complete.FramingOf(response)}
	if end.Framing != complete.FramingClose {
		return nil
	}
	end.Request, end.Stream = c.sending.state(), c.stream()
	if err := complete.Check(end); err != nil {
		return err
	}
	end.ServerEnded = p.hasEnded()
	return complete.Check(end)
}
