// Package pipeline serves requests concurrently that a caller sends on one HTTP/1.1 connection before the previous
// ones are answered. net/http runs the requests of a connection one after the other.
//
// # Usage
//
//	p := pipeline.New(pipeline.Config{Limit: 8, MayStart: ingress.MayPipeline, Handler: ingress, ...})
//	listener = p.Listen(listener)
//	server := &http.Server{
//		Handler:           p,
//		ReadHeaderTimeout: 5 * time.Second,
//		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return pipeline.ConnContext(ctx, pipeline.From(c)) },
//		ConnState:   func(c net.Conn, state http.ConnState) { pipeline.ConnState(pipeline.From(c), state) },
//	}
//	...
//	p.StopStarting()  // a planned stop begins
//	p.Wait(ctx)       // before http.Server.Shutdown
//
// # How it works
//
// A Conn reads ahead into a buffer of at most maxBuffered bytes, and gives net/http one request at a time: it returns
// nothing beyond the request being served until net/http has answered it. What net/http reads is byte for byte what
// the caller sent, only divided differently. While net/http serves a request, it waits on the connection for the caller
// to disconnect. That read keeps filling the buffer, and fails when the caller closes the connection, although further
// requests have been read.
//
// While a request is served, those behind it in the buffer are started ahead (stream.go decides which): each runs the
// handler in its own goroutine with a recorder as its http.ResponseWriter. When net/http has read the same request,
// ServeHTTP passes on the recorded answer, and from then on what the handler still writes (execution.go). Answers are therefore
// written in order, by net/http. If a request was not started ahead, ServeHTTP calls the handler.
//
// # Which requests are started ahead
//
// The rules are in stream.go and head.go, which have no socket, clock or goroutine. A request is started if the one being
// served and all between them may be started as well; any other is a barrier. Barriers are requests that MayStart
// rejects, that have a body or an Expect or Upgrade header, and heads that are incomplete or not strictly formed. A head
// behind which the next request cannot be found with certainty, such as that of a chunked request, ends the reading
// request by request: from then on net/http gets the connection's bytes as they arrive, and nothing is started ahead.
//
// Nothing is started once a byte of the current answer has been written: a caller that sends one request at a time may
// have received the whole answer before net/http has finished it.
//
// # State
//
// All state belongs to a connection and ends with it. The package owns the goroutines of requests started ahead. It
// relies on net/http to read and answer one request at a time, to report http.StateIdle after each answer, and on
// http.Server.ReadHeaderTimeout, which must be set: a read without a deadline of one byte waits for a disconnect.
package pipeline

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/guard"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// maxBuffered bounds what a connection reads ahead, in bytes.
	maxBuffered = 64 << 10
	// maxRecorded bounds the answers of a connection that wait for their turn, in bytes. Answers have 5 to 30 KB.
	maxRecorded = 1 << 20
	// waitPollInterval is the interval between checks whether all requests started ahead are answered.
	waitPollInterval = 5 * time.Millisecond
)

// Config configures a Pipeline.
type Config struct {
	// Limit is how many requests of a connection are served concurrently, including the one that net/http serves. Requests
	// that wait for their turn to be answered count. It is at least 2.
	Limit int
	// MayStart reports whether a request without a body may run beside others of its connection, and more than once. It
	// must not block.
	MayStart func(r *http.Request) bool
	// Handler serves all requests.
	Handler http.Handler
	// ErrorLog receives panics of requests that are not answered any more. Those of others are passed on to net/http.
	ErrorLog *log.Logger
	// Scope receives the metrics.
	Scope tally.Scope
}

// Account bounds what a connection holds beside what net/http does. The zero value has no bound.
type Account struct {
	// Take reports whether there is room for that many bytes more.
	Take func(size int64) bool
	// Give gives back what was taken.
	Give func(size int64)
}

func (a Account) take(size int64) bool { return a.Take == nil || a.Take(size) }

func (a Account) give(size int64) {
	if a.Give != nil && size > 0 {
		a.Give(size)
	}
}

// aheadCost is what a request that was started ahead takes beside its head: its answer may be read to memory before its turn.
const aheadCost = guard.RequestCost + 256<<10

// Pipeline serves the connections of a server.
type Pipeline struct {
	config     Config
	started    tally.Counter
	discarded  tally.Counter
	stopping   atomic.Bool
	unanswered atomic.Int64 // requests started ahead and neither answered nor discarded
}

// New returns a Pipeline without connections.
func New(config Config) *Pipeline {
	return &Pipeline{
		config:    config,
		started:   config.Scope.Counter("callers_pipelined"),
		discarded: config.Scope.Counter("callers_pipelined_discarded"),
	}
}

// StopStarting ends the starting of requests ahead. Those that have been started continue.
func (p *Pipeline) StopStarting() { p.stopping.Store(true) }

// Wait waits until all requests that were started ahead are answered or discarded, or ctx ends. It must be called after
// StopStarting and before http.Server.Shutdown, after which net/http reads no further request of a connection.
func (p *Pipeline) Wait(ctx context.Context) {
	for p.unanswered.Load() > 0 && wait.For(ctx, waitPollInterval) {
	}
}

// Listen returns a listener whose connections are Conns, as far as they are sockets.
func (p *Pipeline) Listen(listener net.Listener) net.Listener {
	return connListener{Listener: listener, pipeline: p}
}

type connListener struct {
	net.Listener
	pipeline *Pipeline
}

// Accept returns the next connection.
func (l connListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	system, ok := socket.(syscall.Conn)
	if !ok {
		return socket, nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return socket, nil //nolint:nilerr // an error would end the server; the first read reports it
	}
	return newConn(l.pipeline, socket, raw), nil
}

// From returns the Conn that Listen's listener accepted as c; nil if it is none.
func From(c net.Conn) *Conn {
	own, _ := c.(*Conn)
	return own
}

type contextKey struct{}

// ConnContext stores the connection in the context for ServeHTTP. It is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// ConnOf returns the connection of a request's context, or nil.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// ServeHTTP answers a request of net/http: with the answer of its execution if it was started ahead, or else by the
// handler. It starts the requests behind it.
func (p *Pipeline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := ConnOf(r.Context())
	if c == nil {
		p.config.Handler.ServeHTTP(w, r)
		return
	}
	e, ok := c.begin(r)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	if e == nil {
		p.config.Handler.ServeHTTP(w, r)
		return
	}
	defer c.answered(e)
	e.deliver(w, r)
}
