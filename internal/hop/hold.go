package hop

import (
	"bytes"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

const (
	// maxBuffered is the size of the longest answer that is buffered, in bytes. A thousand concurrent
	// answers stay within a quarter of a daemon's 256 MB.
	maxBuffered = 64 << 10
	// maxWhole is the size of the longest answer that BufferWhole buffers, in bytes.
	maxWhole = 256 << 10
)

// BufferShort reads a short answer completely, so that a truncated one can still be replaced by an
// error or by another attempt. Longer and chunked answers are left to be forwarded as they arrive.
// An answer without a length is complete if its connection is closed in order.
func BufferShort(response *http.Response) error {
	if len(response.TransferEncoding) > 0 {
		return nil
	}
	complete, err := buffer(response, maxBuffered)
	if complete {
		response.ContentLength = response.Body.(bufferedBody).size
	}
	return err
}

// BufferWhole reads an answer of up to maxWhole bytes completely, however it is framed. It is for answers whose truncation would
// end a connection on which others wait.
func BufferWhole(response *http.Response) error {
	_, err := buffer(response, maxWhole)
	return err
}

// buffer reads an answer of up to limit bytes, and reports whether that is all of it.
func buffer(response *http.Response, limit int64) (complete bool, err error) {
	if response.ContentLength > limit || response.Body == http.NoBody {
		return false, nil
	}
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return false, nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		_ = response.Body.Close()
		return false, errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		response.Body = longBody{Reader: io.MultiReader(bytes.NewReader(data), response.Body), Closer: response.Body}
		return false, nil
	}
	if err := response.Body.Close(); err != nil {
		return false, errors.Wrap(err, "close answer")
	}
	response.Body = bufferedBody{Reader: bytes.NewReader(data), size: int64(len(data))}
	return true, nil
}

// bufferedBody is an answer that was read completely.
type bufferedBody struct {
	*bytes.Reader
	size int64
}

// Close does nothing.
func (bufferedBody) Close() error { return nil }

// longBody is the part of an answer that was read, followed by the rest.
type longBody struct {
	io.Reader
	io.Closer
}
