package pipeline

import (
	"bytes"
	"io"
	"log"
	"maps"
	"net/http"
	"sync"

	"github.com/go-faster/errors"
)

// errDropped is returned to a handler that writes an answer after it was discarded.
var errDropped = errors.New("the connection of the request is closed")

// partOverhead is what a recorded part holds beside its data, in bytes.
const partOverhead = 128

// partKind says which call of a handler a part records.
type partKind string

const (
	partHeader partKind = "header"
	partData   partKind = "data"
	partText   partKind = "text" // by io.WriteString, which net/http divides into other chunks
	partFlush  partKind = "flush"
)

// part is one recorded call of a handler. Calls are repeated one by one, since net/http derives the framing of an answer
// from them.
type part struct {
	kind   partKind
	status int
	header http.Header
	data   []byte
	text   string
}

func (p part) size() int {
	size := partOverhead + len(p.data) + len(p.text)
	for name, values := range p.header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

// answer is the http.ResponseWriter of a request that was started ahead. It records the handler's calls until its turn
// comes, and passes them on directly from then on. Where the recorded answers of the connection use up its memory, a
// call waits for its turn.
//
// One goroutine runs the handler and calls the methods of http.ResponseWriter; deliver and drop are called by others.
type answer struct {
	memory   *memory
	errorLog *log.Logger

	header http.Header // of the handler
	status int         // of the handler; zero until it is written

	// applied holds the headers that were set on the writer of net/http. It is used by deliver, and by the handler once
	// live is set.
	applied http.Header

	mu       sync.Mutex
	changed  *sync.Cond
	parts    []part              // recorded and not yet delivered
	live     http.ResponseWriter // set when the handler's calls are passed on
	done     bool                // the handler has ended
	dropped  bool                // the answer is discarded
	panicked any                 // what the handler has panicked with
}

func newAnswer(memory *memory, errorLog *log.Logger) *answer {
	a := &answer{memory: memory, errorLog: errorLog, header: make(http.Header)}
	a.changed = sync.NewCond(&a.mu)
	return a
}

// Header returns the headers of the answer.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader writes the status and the headers.
func (a *answer) WriteHeader(status int) {
	if a.status != 0 {
		return
	}
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		a.status = status
	}
	_, _ = a.write(part{kind: partHeader, status: status, header: a.header}) // the next Write fails too
}

// Write writes a piece of the body.
func (a *answer) Write(data []byte) (int, error) {
	return a.writeBody(part{kind: partData, data: data})
}

// WriteString writes a piece of the body. It is called by io.WriteString.
func (a *answer) WriteString(text string) (int, error) {
	return a.writeBody(part{kind: partText, text: text})
}

func (a *answer) writeBody(p part) (int, error) {
	a.WriteHeader(http.StatusOK)
	if a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		return 0, http.ErrBodyNotAllowed
	}
	return a.write(p)
}

// FlushError flushes what was written. It is called by http.ResponseController.
func (a *answer) FlushError() error {
	a.WriteHeader(http.StatusOK)
	_, err := a.write(part{kind: partFlush})
	return err
}

// write records the part, or passes it on.
func (a *answer) write(p part) (int, error) {
	live, err := a.record(p)
	if err != nil || live == nil {
		return len(p.data) + len(p.text), err
	}
	return a.emit(live, p)
}

// record records the part. If the answer's turn has come, it returns the writer that the part must be written to.
func (a *answer) record(p part) (http.ResponseWriter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.live == nil && !a.dropped && !a.memory.take(p.size()) {
		a.changed.Wait()
	}
	if a.dropped {
		return nil, errDropped
	}
	if a.live == nil {
		p.data, p.header = bytes.Clone(p.data), p.header.Clone()
		a.parts = append(a.parts, p)
		a.changed.Broadcast()
	}
	return a.live, nil
}

// emit repeats a call on the writer of net/http.
func (a *answer) emit(w http.ResponseWriter, p part) (int, error) {
	switch p.kind {
	case partHeader:
		a.apply(w, p.header)
		w.WriteHeader(p.status)
	case partData:
		return w.Write(p.data)
	case partText:
		return io.WriteString(w, p.text)
	case partFlush:
		return 0, http.NewResponseController(w).Flush()
	}
	return 0, nil
}

// apply sets the headers on the writer, and removes those that were set before and are no longer there.
func (a *answer) apply(w http.ResponseWriter, header http.Header) {
	own := w.Header()
	for name := range a.applied {
		if _, ok := header[name]; !ok {
			delete(own, name)
		}
	}
	a.applied = header.Clone()
	maps.Copy(own, a.applied)
}

// deliver writes the answer, and returns when the handler has ended. Like a handler, it panics if the answer is not
// complete.
func (a *answer) deliver(w http.ResponseWriter) {
	delivered := false
	defer func() {
		if !delivered {
			a.drop()
		}
	}()
	for parts := a.turn(w); len(parts) > 0; parts = a.turn(w) {
		a.emitAll(w, parts)
	}
	if panicked := a.awaitEnd(); panicked != nil {
		panic(panicked)
	}
	a.apply(w, a.header) // trailers, or all headers if nothing was written
	delivered = true
}

// turn returns the recorded parts. If there are none, the handler's calls are passed on to w from now on.
func (a *answer) turn(w http.ResponseWriter) []part {
	a.mu.Lock()
	defer a.mu.Unlock()
	parts := a.parts
	a.parts = nil
	if len(parts) == 0 {
		a.live = w
		a.changed.Broadcast()
	}
	return parts
}

// emitAll repeats recorded calls. A failure means that the caller has disconnected, or that the answer's parts do not fit
// together.
func (a *answer) emitAll(w http.ResponseWriter, parts []part) {
	defer func() { a.memory.release(sizeOf(parts)) }()
	for _, p := range parts {
		if _, err := a.emit(w, p); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func sizeOf(parts []part) int {
	size := 0
	for _, p := range parts {
		size += p.size()
	}
	return size
}

// awaitEnd waits until the handler has ended, and returns what it has panicked with.
func (a *answer) awaitEnd() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.done {
		a.changed.Wait()
	}
	panicked := a.panicked
	a.panicked = nil
	return panicked
}

// end records that the handler has ended, with a panic unless panicked is nil.
func (a *answer) end(panicked any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	a.panicked = panicked
	a.logUnseenPanic()
	a.changed.Broadcast()
}

// drop discards the answer. What the handler still writes fails.
func (a *answer) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropped = true
	a.memory.release(sizeOf(a.parts))
	a.parts = nil
	a.logUnseenPanic()
	a.changed.Broadcast()
}

// logUnseenPanic logs a panic that is not passed on to net/http, as net/http does.
func (a *answer) logUnseenPanic() {
	if a.dropped && a.panicked != nil && a.panicked != http.ErrAbortHandler { //nolint:errorlint // as net/http
		a.errorLog.Printf("http: panic serving a request sent ahead: %v", a.panicked)
	}
	if a.dropped {
		a.panicked = nil
	}
}
