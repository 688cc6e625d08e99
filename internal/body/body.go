// Package body allows a request's body to be sent more than once.
//
// # Usage
//
//	memory := body.NewMemory(body.MemoryConfig{Limit: 64 << 20, Scope: scope}) // one for each daemon
//
//	b := body.New(w, r, limit)      // nil without a body
//	b.ChargeTo(memory, body.Holder{Kind: body.HolderCustomer, Name: "library-12"})
//	defer b.Finish()                // gives the memory back
//	err := b.Prepare(deadline)      // reads a short body now; ErrNoRoom if no memory is left
//	b.Rewind(out)                   // for each attempt
//	if b.Consumed() { ... }         // it can no longer be sent from its start
//	first, err := b.Peek(64 << 10)  // for its fingerprint; b.TryPeek does not wait for the caller
//
// A short body is read completely before anything is sent, so that no attempt
// waits for the caller. Of a longer body the first part is buffered, and the
// rest is streamed. net/http does not allow reading a body after its handler has
// returned, which Finish ensures.
//
// # Memory
//
// A Memory bounds the sum of what is buffered. A body of known length takes what will be buffered of it
// in Prepare, before any of it is read or sent. One of unknown length takes readAhead bytes there, and
// more as it is read. If no memory is left for it then, an attempt has sent a part already and the
// request may have run, so that it is not refused: it is streamed from there on, without the buffer, and
// cannot be sent again. Finish gives back what the body has taken. Without a Memory there is no bound.
package body

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// maxBuffered is how much of a request body is buffered for further attempts, in bytes.
// A thousand concurrent requests then buffer at most 64 MB; a Memory bounds the sum for any number.
const maxBuffered = 64 << 10

// readAhead is how much Peek reads at a time, and how much memory a body of unknown length takes at a time, in bytes.
const readAhead = 4 << 10

// readSlack is how long after the request's deadline a streamed body may still be
// read. net/http treats a failed read as a disconnected caller, so the request's
// deadline has to expire first.
const readSlack = time.Second

// ErrTooLong is returned when the body is longer than its limit.
var ErrTooLong = errors.New("request body is longer than the route allows")

// ErrUnread is returned when the caller has not sent enough of the body yet.
var ErrUnread = errors.New("request body is not read yet")

// errSuperseded is returned when a later attempt is reading the body.
var errSuperseded = errors.New("request body is in use by a later attempt")

// errConsumed is returned to an attempt that began after more of the body was read than is buffered.
var errConsumed = errors.New("request body was read further than it is buffered")

// Body lets each attempt read the caller's body from its start, as long as the
// data read is still buffered. It limits the body's length. A nil Body
// represents a request without a body.
type Body struct {
	writer         http.ResponseWriter
	controller     *http.ResponseController
	length         int64 // the announced length; negative if unknown
	expectContinue bool  // the caller sends the body after a 100 response

	complete   atomic.Bool // readAll has read and buffered the whole body
	ended      atomic.Bool // the source has returned io.EOF
	mu         sync.Mutex
	source     io.Reader
	remaining  int64
	buffered   []byte // the body's first bytes
	overflowed bool   // more was read than is buffered
	dropped    bool   // no memory was left for the buffer; it also overflowed
	attempt    int    // the latest attempt, the only one that may read
	account    account
}

// New returns the request's body prepared for attempts, or nil if the request has none.
func New(w http.ResponseWriter, r *http.Request, limit int64) *Body {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	return &Body{
		writer:         w,
		controller:     http.NewResponseController(w),
		source:         r.Body,
		length:         r.ContentLength,
		expectContinue: r.Header.Get("Expect") != "",
		remaining:      limit,
	}
}

// ChargeTo sets the Memory that the buffer is taken from, and the holder that it is accounted to. It must
// be called before Prepare.
func (b *Body) ChargeTo(memory *Memory, holder Holder) {
	if b == nil {
		return
	}
	b.account.memory, b.account.holder = memory, holder
}

// Prepare takes memory for the body, bounds how long the caller may take to send the body, and reads the
// body if its announced length is short. Without room in the Memory it returns ErrNoRoom, and the body is
// not read.
func (b *Body) Prepare(deadline time.Time) error {
	if b == nil {
		return nil
	}
	// Both fail only on a closed connection, which a read detects.
	_ = b.controller.EnableFullDuplex()
	if err := b.reserve(b.firstRoom()); err != nil {
		b.closeAfterResponse() // before the refusal is written, so that its headers announce the close
		return err
	}
	if b.expectContinue || b.length < 0 || b.length > maxBuffered {
		_ = b.controller.SetReadDeadline(deadline.Add(readSlack))
		return nil
	}
	_ = b.controller.SetReadDeadline(deadline)
	if err := b.readAll(); err != nil {
		return err
	}
	_ = b.controller.SetReadDeadline(time.Time{})
	return nil
}

// firstRoom returns how much memory the body takes before it is read, in bytes.
func (b *Body) firstRoom() int {
	if b.length < 0 {
		return readAhead
	}
	return b.maxHeld()
}

// maxHeld returns how much of the body is buffered at most.
func (b *Body) maxHeld() int {
	if b.length < 0 {
		return maxBuffered
	}
	return int(min(b.length, maxBuffered))
}

// reserve takes the memory for buffering that many bytes of the body, in steps of readAhead.
func (b *Body) reserve(size int) error {
	steps := (size + readAhead - 1) / readAhead
	return b.account.takeUpTo(int64(min(steps*readAhead, b.maxHeld())))
}

// readAll reads and buffers the whole body. It reads into the buffer itself: a separate one would hold the
// memory again while a slow caller sends.
func (b *Body) readAll() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffered = make([]byte, 0, b.length+1) // net/http ends the body at its length, so that a byte is always left to read into
	for !b.ended.Load() {
		if _, err := b.read(b.buffered[len(b.buffered):cap(b.buffered)]); err != nil && !errors.Is(err, io.EOF) {
			return errors.Wrap(err, "read request body")
		}
	}
	b.complete.Store(true)
	return nil
}

// Rewind sets the request's body to a reader that starts at the beginning. If the body is not fully
// buffered, the readers of earlier attempts fail from then on; if it is already consumed, the new reader
// fails instead. A fully buffered body is set as an
// in-memory reader that net/http recognizes and writes together with the headers; other readers
// are copied through a buffer of 32 KB (BenchmarkSendShortBody).
func (b *Body) Rewind(r *http.Request) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete.Load() {
		r.Body = io.NopCloser(bytes.NewReader(b.buffered))
		return
	}
	if b.overflowed {
		r.Body = io.NopCloser(failingReader{})
		return
	}
	b.attempt++
	r.Body = &attemptBody{body: b, attempt: b.attempt}
}

// Consumed reports whether the body can no longer be sent from its start.
func (b *Body) Consumed() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overflowed
}

// Peek returns the first bytes of the body, at most limit and no more than is buffered. It reads missing bytes
// from the caller and buffers them for the attempts.
func (b *Body) Peek(limit int) ([]byte, error) {
	if b == nil {
		return nil, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for missing := b.unread(limit); missing > 0; missing = b.unread(limit) {
		piece := make([]byte, min(readAhead, missing))
		if err := b.reserve(len(b.buffered) + len(piece)); err != nil {
			return nil, err
		}
		if _, err := b.read(piece); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	return b.first(limit)
}

// TryPeek is like Peek but returns ErrUnread where Peek would wait for the caller: a caller that is itself waiting
// for a response sends nothing more.
func (b *Body) TryPeek(limit int) ([]byte, error) {
	if b == nil {
		return nil, nil
	}
	if !b.mu.TryLock() {
		return nil, ErrUnread // another read is waiting for the caller
	}
	defer b.mu.Unlock()
	if b.unread(limit) > 0 {
		return nil, ErrUnread
	}
	return b.first(limit)
}

// first returns the first buffered bytes, at most limit. The caller holds mu.
func (b *Body) first(limit int) ([]byte, error) {
	if b.dropped {
		return nil, ErrNoRoom
	}
	return b.buffered[:min(len(b.buffered), limit)], nil
}

// unread returns how many bytes at most must still be read for a Peek of limit bytes. The caller holds mu.
func (b *Body) unread(limit int) int {
	if b.ended.Load() || b.overflowed {
		return 0
	}
	return max(0, min(limit, maxBuffered)-len(b.buffered))
}

// Finish stops the reading of the rest of the body, which an attempt may still be sending after it was
// answered. It returns once reading has stopped. It gives back the memory of the body. The connection of
// a body that was not read to its end is closed after the response.
//
// A body that was read to its end needs no abort: net/http is then waiting on the connection for the
// caller to disconnect, and would treat an aborted read as a disconnect and cancel the next request.
func (b *Body) Finish() {
	if b == nil {
		return
	}
	defer b.account.close()
	if b.complete.Load() {
		return
	}
	if !b.ended.Load() {
		b.abortRead()
	}
	if b.ended.Load() {
		_ = b.controller.SetReadDeadline(time.Time{}) // the connection can be reused
		return
	}
	b.closeAfterResponse()
}

// AnnounceClose announces in the headers of a response that the connection is closed after it, as Finish does if the body was not
// read to its end by then.
func (b *Body) AnnounceClose(h http.Header) {
	if b != nil && !b.complete.Load() && !b.ended.Load() {
		h.Set("Connection", "close")
	}
}

// closeAfterResponse makes net/http close the connection after the response.
func (b *Body) closeAfterResponse() { CloseAfterResponse(b.writer) }

// CloseAfterResponse makes net/http close the connection after the response. In full duplex, net/http reuses a
// connection whose request body could not be read to its end, and takes the rest of the body for the next request.
// It closes one whose body exceeds the limit of a MaxBytesReader.
func CloseAfterResponse(w http.ResponseWriter) {
	const limit = 0
	tooLong := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), limit)
	_, _ = tooLong.Read(make([]byte, 1))
}

// abortRead aborts a read in progress, and returns once it has stopped.
func (b *Body) abortRead() {
	_ = b.controller.SetReadDeadline(time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
}

// readAt reads at the offset, from the buffer if possible.
func (b *Body) readAt(attempt, offset int, p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return 0, errSuperseded
	}
	if offset < len(b.buffered) {
		return copy(p, b.buffered[offset:]), nil
	}
	return b.read(p)
}

// read reads from the source.
func (b *Body) read(p []byte) (int, error) {
	if b.ended.Load() {
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	b.ended.Store(errors.Is(err, io.EOF))
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, ErrTooLong
	}
	b.appendBuffered(p[:n])
	return n, err
}

// appendBuffered buffers a piece for later attempts. Of a body that does not fit, the first part stays buffered for
// the fingerprint. If no memory is left for the piece, the buffer is dropped.
func (b *Body) appendBuffered(piece []byte) {
	if b.dropped {
		return
	}
	room := maxBuffered - len(b.buffered)
	if b.overflowed || len(piece) > room {
		b.overflowed = true
		piece = piece[:min(len(piece), room)]
	}
	if err := b.reserve(len(b.buffered) + len(piece)); err != nil {
		b.drop()
		return
	}
	b.buffered = append(b.buffered, piece...)
}

// drop gives up the buffer. Only the attempt that reads the source now can be sent the rest.
func (b *Body) drop() {
	b.overflowed, b.dropped = true, true
	b.buffered = nil
	b.account.giveBack()
}

// attemptBody is the body of one attempt.
type attemptBody struct {
	body    *Body
	attempt int
	offset  int
}

// Read reads the next part of the body.
func (a *attemptBody) Read(p []byte) (int, error) {
	n, err := a.body.readAt(a.attempt, a.offset, p)
	a.offset += n
	return n, err
}

// Close leaves the caller's body open, since another attempt may need it.
// net/http closes it after the request has been served.
func (a *attemptBody) Close() error { return nil }

// failingReader is the body of an attempt that cannot read the body from its start.
type failingReader struct{}

// Read returns errConsumed.
func (failingReader) Read([]byte) (int, error) { return 0, errConsumed }
