// Package logline writes log lines without blocking whoever logs.
//
// # Usage
//
//	w, cleanUp := logline.New(logline.Config{Out: os.Stdout, PerSecond: 500})
//	defer cleanUp()
//	logger := slog.New(slog.NewJSONHandler(w, nil))
//
// A line is put into a bounded buffer, which one goroutine writes out; the package owns both. A
// line that finds the buffer full, because the reader of the log has stopped reading, is
// dropped, and so is one beyond the rate. Once there is room, a line of its own says how many
// were dropped. Lines keep their order.
package logline

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// buffered is how many lines may wait to be written. Source: two seconds of lines at
	// DefaultPerSecond, 300 KB at 300 bytes a line.
	buffered = 1024
	// DefaultPerSecond is how many lines are written in a second at most. Source: a daemon
	// with a hundred requests a second that all fail logs five lines for each.
	DefaultPerSecond = 500
	// endWithin bounds the wait for what is buffered when the log ends. Not measured: a
	// reader that reads takes the whole buffer in far less.
	endWithin = 200 * time.Millisecond
)

// Config configures a Writer.
type Config struct {
	// Out receives the lines, one with each Write.
	Out io.Writer
	// PerSecond bounds the lines of a second; 0 means DefaultPerSecond.
	PerSecond int
	// OnDrop is called for each line that is dropped; it may be nil.
	OnDrop func()
}

// Writer takes one line with each Write. It is safe for concurrent use.
type Writer struct {
	config  Config
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64 // the second whose lines are counted, in Unix time
	taken   atomic.Int64 // the lines of that second, with those beyond the rate
	ending  chan struct{}
	ended   chan struct{}
}

// New returns a writer, and a function that writes what is buffered and ends it.
func New(config Config) (*Writer, func()) {
	if config.PerSecond == 0 {
		config.PerSecond = DefaultPerSecond
	}
	if config.OnDrop == nil {
		config.OnDrop = func() {}
	}
	w := &Writer{
		config: config,
		lines:  make(chan []byte, buffered),
		ending: make(chan struct{}),
		ended:  make(chan struct{}),
	}
	go w.run()
	return w, w.end
}

// Write takes a line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.withinRate(time.Now().Unix()) {
		w.drop()
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

// drop counts a line that is not written.
func (w *Writer) drop() {
	w.dropped.Add(1)
	w.config.OnDrop()
}

// withinRate counts a line in its second and reports whether it may be written.
func (w *Writer) withinRate(second int64) bool {
	if old := w.second.Load(); old != second && w.second.CompareAndSwap(old, second) {
		w.taken.Store(0)
	}
	return w.taken.Add(1) <= int64(w.config.PerSecond)
}

// run writes the buffered lines until the log ends.
func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.ending:
			w.writeRest()
			return
		}
	}
}

// writeRest writes what is buffered without waiting for more.
func (w *Writer) writeRest() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes a line, and before it how many were dropped.
func (w *Writer) write(line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.config.Out, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped)
	}
	_, _ = w.config.Out.Write(line) // a log that cannot be written has nowhere to say so
}

// end ends the log once what is buffered is written, or after endWithin if nobody reads it.
func (w *Writer) end() {
	close(w.ending)
	select {
	case <-w.ended:
	case <-time.After(endWithin):
	}
}
