// Package logline writes log lines without blocking the caller.
//
// # Usage
//
//	w, cleanUp := logline.New(logline.Config{Out: os.Stdout, PerSecond: 500})
//	defer cleanUp()
//	logger := slog.New(slog.NewJSONHandler(w, nil))
//
// Lines are put into a bounded buffer, which one goroutine writes out; the package owns both. A
// line is dropped if the buffer is full, because the reader of the log has stopped reading, or if
// it exceeds the rate. The next line that is written is preceded by one that reports how many were
// dropped. Lines keep their order.
package logline

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines is the maximum number of lines that wait to be written: about two seconds of lines
	// at DefaultPerSecond.
	bufferedLines = 1024
	// DefaultPerSecond is the default maximum number of lines per second.
	DefaultPerSecond = 500
	// closeTimeout limits the wait for buffered lines to be written when the writer is closed.
	closeTimeout = 200 * time.Millisecond
)

// Config configures a Writer.
type Config struct {
	// Out receives the lines, one with each Write.
	Out io.Writer
	// PerSecond is the maximum number of lines per second; 0 means DefaultPerSecond.
	PerSecond int
	// OnDrop is called for each dropped line; it may be nil.
	OnDrop func()
}

// Writer accepts one line with each Write. It is safe for concurrent use.
type Writer struct {
	config  Config
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64 // Unix time of the second whose lines are counted
	count   atomic.Int64 // lines in that second, including those beyond the rate
	closing chan struct{}
	closed  chan struct{}
}

// New returns a writer and a function that writes the buffered lines and stops the writer.
func New(config Config) (*Writer, func()) {
	if config.PerSecond == 0 {
		config.PerSecond = DefaultPerSecond
	}
	if config.OnDrop == nil {
		config.OnDrop = func() {}
	}
	w := &Writer{
		config:  config,
		lines:   make(chan []byte, bufferedLines),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go w.run()
	return w, w.stop
}

// Write queues a line. It never blocks and never returns an error.
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

// drop counts a dropped line.
func (w *Writer) drop() {
	w.dropped.Add(1)
	w.config.OnDrop()
}

// withinRate counts a line in the given second and reports whether the rate allows it.
func (w *Writer) withinRate(second int64) bool {
	if old := w.second.Load(); old != second && w.second.CompareAndSwap(old, second) {
		w.count.Store(0)
	}
	return w.count.Add(1) <= int64(w.config.PerSecond)
}

// run writes the buffered lines until the writer is closed.
func (w *Writer) run() {
	defer close(w.closed)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush writes the buffered lines without waiting for more.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes a line, preceded by the number of dropped lines if there are any.
func (w *Writer) write(line []byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.config.Out, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped)
	}
	_, _ = w.config.Out.Write(line) // there is nowhere to report an error of the log itself
}

// stop stops the writer once the buffered lines are written, or after closeTimeout if the log is not read.
func (w *Writer) stop() {
	close(w.closing)
	select {
	case <-w.closed:
	case <-time.After(closeTimeout):
	}
}
