package hop

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/complete"
	"github.com/tideliftd/tidelift/internal/route"
)

// copyBufferSize is the size of the buffers for copying bodies, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// ErrUnframed means that an answer has neither a length nor chunks, so that a truncated answer
// would look complete.
var ErrUnframed = errors.New("answer is framed by the end of its connection")

// Outgoing returns the request to send to the address in place of in. It has the same method, host,
// path, query, body and end-to-end headers.
func Outgoing(ctx context.Context, in *http.Request, address string) *http.Request {
	out := &http.Request{
		Method:        in.Method,
		URL:           outgoingURL(in.URL, address),
		Proto:         "HTTP/1.1", // without it net/http does not wait for 100 Continue
		ProtoMajor:    1,
		ProtoMinor:    1,
		Host:          in.Host,
		Header:        make(http.Header, len(in.Header)+8),
		Body:          in.Body,
		ContentLength: in.ContentLength,
		Trailer:       in.Trailer,
	}
	CopyEndToEnd(out.Header, in.Header)
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return out.WithContext(ctx)
}

// outgoingURL returns the URL at the address with the path and query as they were sent.
func outgoingURL(in *url.URL, address string) *url.URL {
	out := &url.URL{
		Scheme:     "http",
		Host:       address,
		Path:       in.Path,
		RawPath:    in.RawPath,
		RawQuery:   in.RawQuery,
		ForceQuery: in.ForceQuery,
	}
	// net/http encodes characters that a URL should not contain, unless the path is opaque. It takes an opaque path that
	// starts with two slashes for an authority.
	if sent := route.SentPath(in); sent != in.EscapedPath() && !strings.HasPrefix(sent, "//") {
		out.Opaque = sent
	}
	return out
}

// forbidReplay modifies the request so that http.Transport does not resend it after a lost
// connection; only the ingress may retry it. The transport treats a request without a body as
// idempotent if its method is GET, HEAD, OPTIONS or TRACE, or if it has an Idempotency-Key header.
//
// The transport never treats a request with an empty but non-nil body as idempotent, and the
// identity coding keeps that body off the wire. The body is a reader that net/http recognises as
// being in memory; any other kind is copied through a buffer of 32 KB (BenchmarkSendWithoutBody).
// The key headers are written in lower case, which receivers treat as equal and for which the
// transport does not check.
func forbidReplay(out *http.Request) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		values, ok := out.Header[name]
		if !ok {
			continue
		}
		delete(out.Header, name)
		out.Header[strings.ToLower(name)] = values
	}
	if out.Body != nil && out.Body != http.NoBody {
		return
	}
	switch out.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		out.Body = io.NopCloser(bytes.NewReader(nil))
		out.TransferEncoding = []string{"identity"}
	}
}

// CheckFraming returns ErrUnframed if a truncated answer would look complete.
func CheckFraming(response *http.Response) error {
	if complete.FramingOf(response) == complete.FramingClose {
		return ErrUnframed
	}
	return nil
}

// WriteAnswer forwards an answer, including its body and trailers. An error means that the answer
// was truncated; the caller must then close the receiver's connection before the end of the answer
// by panicking with http.ErrAbortHandler.
func WriteAnswer(w http.ResponseWriter, response *http.Response) error {
	CopyEndToEnd(w.Header(), response.Header)
	if response.ContentLength >= 0 && response.Request != nil && complete.HasBody(response) {
		w.Header().Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	announceTrailers(w.Header(), response.Trailer)
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		w.Header()[name] = values
	}
	return nil
}

func announceTrailers(h, trailer http.Header) {
	for name := range trailer {
		h.Add("Trailer", name)
	}
}

func copyBody(w http.ResponseWriter, response *http.Response) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	if response.ContentLength >= 0 {
		_, err := io.CopyBuffer(writerOnly{w}, readerOnly{response.Body}, *buffer)
		if err != nil {
			return errors.Wrap(err, "copy answer")
		}
		return nil
	}
	return copyFlushing(w, response.Body, *buffer)
}

// copyFlushing flushes each piece immediately, since the next one may take arbitrarily long.
func copyFlushing(w http.ResponseWriter, body io.Reader, buffer []byte) error {
	flusher := http.NewResponseController(w)
	if err := flusher.Flush(); err != nil {
		return errors.Wrap(err, "flush headers")
	}
	for {
		n, readErr := body.Read(buffer)
		if err := writeFlushed(w, flusher, buffer[:n]); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return errors.Wrap(readErr, "read answer")
		}
	}
}

func writeFlushed(w io.Writer, flusher *http.ResponseController, piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if _, err := w.Write(piece); err != nil {
		return errors.Wrap(err, "write answer")
	}
	if err := flusher.Flush(); err != nil {
		return errors.Wrap(err, "flush answer")
	}
	return nil
}

// OnClose returns the body wrapped so that after runs once, after the body is closed.
func OnClose(body io.ReadCloser, after func()) io.ReadCloser {
	return &onClose{ReadCloser: body, after: after}
}

type onClose struct {
	io.ReadCloser
	after func()
	once  sync.Once
}

// Close closes the body and runs the function.
func (b *onClose) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.after)
	return err
}

// writerOnly and readerOnly hide the methods that would let io.CopyBuffer bypass the buffer.
type (
	writerOnly struct{ io.Writer }
	readerOnly struct{ io.Reader }
)
