package serve

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/body"
)

const (
	// unreadTimeout is how long a response waits for the rest of a body that its handler has not read. If the client has sent it with
	// the head, it is read without a wait, and the connection can be reused.
	unreadTimeout = 5 * time.Millisecond
	// maxUnread is how much of such a body is read, in bytes; net/http has the same limit.
	maxUnread = 256 << 10
)

// serveBeforeBody calls the handler, and lets its response be written before the body of the request has arrived. A handler that
// refuses a request does not read the body; by default, net/http reads up to 256 KB of it first, however long the client
// takes. It reports whether the connection is closed after the response, as it is if the body does not arrive.
//
// A client that expects 100 Continue may send no body after another response, for which net/http does not wait.
func serveBeforeBody(handler http.Handler, w http.ResponseWriter, r *http.Request) (closes bool) {
	if r.ContentLength == 0 || r.Header.Get("Expect") != "" {
		handler.ServeHTTP(w, r)
		return false
	}
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex() // fails only on recorded responses, which have no body
	sent := &endedBody{ReadCloser: r.Body}
	own := *r // net/http requires that its request stays unmodified
	own.Body = sent
	handler.ServeHTTP(w, &own)
	if sent.ended {
		return false
	}
	_ = controller.SetReadDeadline(time.Now().Add(unreadTimeout)) // fails only on a closed connection
	_, _ = io.Copy(io.Discard, io.LimitReader(sent, maxUnread))
	if !sent.ended {
		body.CloseAfterResponse(w)
		return true
	}
	_ = controller.SetReadDeadline(time.Time{})
	return false
}

// endedBody is a body that knows whether it was read to its end.
type endedBody struct {
	io.ReadCloser
	ended bool
}

// Read reads the body.
func (b *endedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
	}
	return n, err
}
