package hop

import (
	"bytes"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// maxHeld is the longest answer that is read whole before it is passed on, in
// bytes. Source: with a thousand answers at once it stays within a quarter of a
// daemon's 256 MB.
const maxHeld = 64 << 10

// BufferShort reads a short answer whole, so that one that breaks off can still be
// answered with a failure or tried elsewhere. Longer ones and those that come in
// chunks, piece by piece, are left to be passed on as they come. An answer
// without a length is whole if its connection ends in order.
func BufferShort(response *http.Response) error {
	if response.ContentLength > maxHeld || len(response.TransferEncoding) > 0 || response.Body == http.NoBody {
		return nil
	}
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxHeld+1))
	if err != nil {
		_ = response.Body.Close()
		return errors.Wrap(err, "read answer")
	}
	if len(data) > maxHeld {
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

// longBody is what was read of an answer and the rest of it.
type longBody struct {
	io.Reader
	io.Closer
}
