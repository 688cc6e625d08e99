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
// Whether an answer without a length is complete, its body says at its end.
func BufferShort(response *http.Response) error {
	if len(response.TransferEncoding) > 0 {
		return nil
	}
	size, err := buffer(response, maxBuffered)
	if size >= 0 {
		response.ContentLength = size
	}
	return err
}

// BufferWhole reads an answer of up to maxWhole bytes completely, however it is framed. It is for answers whose truncation would
// end a connection on which others wait.
func BufferWhole(response *http.Response) error {
	_, err := buffer(response, maxWhole)
	return err
}

// notBuffered is the size that buffer returns for an answer that was not read completely.
const notBuffered = -1

// buffer reads an answer of up to limit bytes completely, and returns its size.
func buffer(response *http.Response, limit int64) (size int64, err error) {
	if response.ContentLength > limit || response.Body == http.NoBody {
		return notBuffered, nil
	}
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return notBuffered, nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		_ = response.Body.Close()
		return notBuffered, errors.Wrap(err, "read answer")
	}
	if int64(len(data)) > limit {
		response.Body = longBody{Reader: io.MultiReader(bytes.NewReader(data), response.Body), Closer: response.Body}
		return notBuffered, nil
	}
	if err := response.Body.Close(); err != nil {
		return notBuffered, errors.Wrap(err, "close answer")
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	return int64(len(data)), nil
}

// longBody is the part of an answer that was read, followed by the rest.
type longBody struct {
	io.Reader
	io.Closer
}
