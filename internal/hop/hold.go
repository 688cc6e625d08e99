package hop

import (
	"bytes"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// maxBuffered is the size of the longest answer that is buffered, in bytes. A thousand concurrent
// answers stay within a quarter of a daemon's 256 MB.
const maxBuffered = 64 << 10

// BufferShort reads a short answer completely, so that a truncated one can still be replaced by an
// error or by another attempt. Longer and chunked answers are left to be forwarded as they arrive.
// An answer without a length is complete if its connection is closed in order.
func BufferShort(response *http.Response) error {
	if response.ContentLength > maxBuffered || len(response.TransferEncoding) > 0 || response.Body == http.NoBody {
		return nil
	}
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBuffered+1))
	if err != nil {
		_ = response.Body.Close()
		return errors.Wrap(err, "read answer")
	}
	if len(data) > maxBuffered {
		response.Body = longBody{Reader: io.MultiReader(bytes.NewReader(data), response.Body), Closer: response.Body}
		return nil
	}
	if err := response.Body.Close(); err != nil {
		return errors.Wrap(err, "close answer")
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	response.ContentLength = int64(len(data))
	return nil
}

// longBody is the part of an answer that was read, followed by the rest.
type longBody struct {
	io.Reader
	io.Closer
}
