// Package body lets a request's body be sent more than once.
//
// # Usage
//
//	b := body.New(w, r, limit)      // nil without a body
//	defer b.Finish()
//	b.Prepare(deadline)             // what is short is read now
//	b.Rewind(out)                   // for each attempt
//	if b.Spent() { ... }            // it can no longer be sent from its start
//	first, err := b.First(64 << 10) // for its fingerprint; b.TryFirst does not wait for the caller
//
// A short body is read whole before anything is sent, so that no attempt waits
// for the caller. Of a longer one the first part is kept, and the rest streams
// through; net/http does not allow that a body is read after its handler has
// returned, which Finish sees to.
package body

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// maxKept is how much of a request body is kept for another attempt, in bytes.
// Source: with a thousand requests at once it stays within a quarter of a
// daemon's 256 MB.
const maxKept = 64 << 10

// readAhead is how much is read at once for First, in bytes.
const readAhead = 4 << 10

// readSlack is how long after the request's deadline a body that streams through
// may still be read. net/http takes a read that failed for a caller that went away;
// the deadline itself has to come first.
const readSlack = time.Second

// ErrTooLong means that the body is longer than its limit.
var ErrTooLong = errors.New("request body is longer than the route allows")

// ErrUnread means that the caller has not sent enough of the body yet.
var ErrUnread = errors.New("request body is not read yet")

// errSuperseded means that a later attempt has the body.
var errSuperseded = errors.New("request body is being sent elsewhere")

// Body lets each attempt read the caller's body from its start, as long as what
// was read is still kept. It bounds the body's length. A nil Body is that of a
// request without one.
type Body struct {
	controller *http.ResponseController
	length     int64 // as the caller announced it; below zero if it did not
	expects    bool  // the caller sends it once it is asked for it

	whole      atomic.Bool // readAll has read it to its end
	ended      atomic.Bool // the source was read to its end
	mu         sync.Mutex
	source     io.Reader
	left       int64
	kept       []byte // from the start on
	overflowed bool   // more was read than is kept
	attempt    int    // only the newest attempt may read
}

// New returns the request's body made ready for attempts; it is nil without one.
func New(w http.ResponseWriter, r *http.Request, limit int64) *Body {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	return &Body{
		controller: http.NewResponseController(w),
		source:     r.Body,
		length:     r.ContentLength,
		expects:    r.Header.Get("Expect") != "",
		left:       limit,
	}
}

// Prepare bounds how long the caller may take to send the body, and reads one
// that is announced as short.
func (b *Body) Prepare(deadline time.Time) error {
	if b == nil {
		return nil
	}
	// Both fail only for a connection that is gone, which the reading shows.
	_ = b.controller.EnableFullDuplex()
	if b.expects || b.length < 0 || b.length > maxKept {
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

// readAll reads the whole body, which is then kept.
func (b *Body) readAll() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	piece := make([]byte, b.length+1)
	for !b.ended.Load() {
		if _, err := b.read(piece); err != nil && !errors.Is(err, io.EOF) {
			return errors.Wrap(err, "read request body")
		}
	}
	b.whole.Store(true)
	return nil
}

// Rewind gives the request a body that starts at the beginning. Of one that is not kept whole
// the readers of earlier attempts fail from now on. One that is goes as a reader that net/http
// knows to be in memory: it writes that with the headers, and another kind through a buffer of
// 32 KB (BenchmarkSendShortBody).
func (b *Body) Rewind(r *http.Request) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.whole.Load() {
		r.Body = io.NopCloser(bytes.NewReader(b.kept))
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

// Peek returns the first bytes of the body, at most so many and no more than is kept. What has not been
// read yet it reads from the caller and keeps for the attempts.
func (b *Body) Peek(limit int) ([]byte, error) {
	if b == nil {
		return nil, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for missing := b.unread(limit); missing > 0; missing = b.unread(limit) {
		if _, err := b.read(make([]byte, min(readAhead, missing))); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	return b.kept[:min(len(b.kept), limit)], nil
}

// TryPeek returns the first bytes of the body like First, but fails if that would wait for the caller: one
// that waits for an answer itself sends nothing more.
func (b *Body) TryPeek(limit int) ([]byte, error) {
	if b == nil {
		return nil, nil
	}
	if !b.mu.TryLock() {
		return nil, ErrUnread // another read waits for the caller
	}
	defer b.mu.Unlock()
	if b.unread(limit) > 0 {
		return nil, ErrUnread
	}
	return b.kept[:min(len(b.kept), limit)], nil
}

// unread returns how much has yet to be read, at the most, for the first bytes of the body. The caller holds mu.
func (b *Body) unread(limit int) int {
	if b.ended.Load() || b.overflowed {
		return 0
	}
	return max(0, min(limit, maxKept)-len(b.kept))
}

// Finish ends the reading of the rest of the body, which an attempt may still send after it was
// answered. It returns once that has stopped.
//
// Of a body that was read to its end nothing is left to end: net/http then waits on the
// connection for the caller to go away, and a read that is ended takes it for gone, with the
// request that comes next.
func (b *Body) Finish() {
	if b == nil || b.whole.Load() {
		return
	}
	if !b.ended.Load() {
		b.endReading()
	}
	if b.ended.Load() {
		_ = b.controller.SetReadDeadline(time.Time{}) // the connection is fit for another request
	}
}

// endReading ends a read that is under way, and returns once it has stopped.
func (b *Body) endReading() {
	_ = b.controller.SetReadDeadline(time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
}

// readAt reads on at the offset, first from what is kept.
func (b *Body) readAt(attempt, offset int, p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempt != b.attempt {
		return 0, errSuperseded
	}
	if offset < len(b.kept) {
		return copy(p, b.kept[offset:]), nil
	}
	return b.read(p)
}

// read reads on from the source.
func (b *Body) read(p []byte) (int, error) {
	if b.ended.Load() {
		return 0, io.EOF
	}
	n, err := b.source.Read(p)
	b.ended.Store(errors.Is(err, io.EOF))
	b.left -= int64(n)
	if b.left < 0 {
		return 0, ErrTooLong
	}
	b.keep(p[:n])
	return n, err
}

// keep keeps a piece for later attempts, as long as all of it fits, and of a longer body the first part,
// by which it is known.
func (b *Body) keep(piece []byte) {
	room := maxKept - len(b.kept)
	if b.overflowed || len(piece) > room {
		b.overflowed = true
		piece = piece[:min(len(piece), room)]
	}
	b.kept = append(b.kept, piece...)
}

// attemptBody is the body of one attempt.
type attemptBody struct {
	body    *Body
	attempt int
	offset  int
}

// Read reads the next piece of the body.
func (a *attemptBody) Read(p []byte) (int, error) {
	n, err := a.body.readAt(a.attempt, a.offset, p)
	a.offset += n
	return n, err
}

// Close leaves the caller's body open, since another attempt may need it;
// net/http closes it when the request has been served.
func (a *attemptBody) Close() error { return nil }
