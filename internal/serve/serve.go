// Package serve opens the listeners of a daemon and shuts each down after its accepted requests have finished.
// Connections that were established before a listener closes are served (package accept). When the daemon closes a
// connection on which no request has begun, it first writes a 408, so that a request that arrives during the close
// is refused and not lost (conn.go).
//
// There are four listeners: for callers and for hops from other daemons, which a planned stop shuts down gracefully,
// for operators, and for control calls. Config.Local adds listeners for the host's own programs.
//
// A planned stop calls, in this order: DisableKeepAlives, which adds "Connection: close" to responses; Refuse, which
// stops new connections; CloseUnused, which closes the connections without a request; and Stop, which waits for the
// requests in flight, or aborts them when its context ends.
//
// The package owns the sockets and servers. It relies on the handlers it is given, on internal/framing for inspecting
// the bytes that callers send, and on internal/pipeline for serving what a caller sends ahead, which Config.Pipelined
// enables.
//
// # Usage
//
//	servers, cleanUp, err := serve.New(serve.Config{Listen: s.Listen, Limits: s.Limits, Callers: ingress, Peers: sidecar, ...})
//	defer cleanUp()
//	err = <-servers.Failed()
//	servers.DisableKeepAlives()
//	servers.Refuse()
//	servers.CloseUnused()
//	err = servers.Stop(ctx)
package serve

import (
	"context"
	"log"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/accept"
	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/event"
	"github.com/tideliftd/tidelift/internal/framing"
	"github.com/tideliftd/tidelift/internal/guard"
	"github.com/tideliftd/tidelift/internal/pipeline"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// peerIdleTimeout is how long a peer's idle connection is kept. It must be longer than an ingress keeps its idle
	// connections, so that no ingress sends a request on a connection that is being closed here.
	peerIdleTimeout = 90 * time.Second
	// peerHeaderTimeout bounds how long a peer may take to send its headers.
	peerHeaderTimeout = 5 * time.Second
	// headerSlack, in bytes, is added to the limit on headers, so that the ingress, not net/http, refuses headers just
	// above the limit and reports why.
	headerSlack = 32 << 10
	// closePollInterval is the interval between checks whether all connections are closed.
	closePollInterval = 5 * time.Millisecond
	// serverCount is the number of servers that may fail: callers, peers, operators, registrations and readiness.
	serverCount = 5
)

// Config configures the listeners and the handlers of their requests.
type Config struct {
	Listen settings.Listen
	Limits settings.Limits
	// Callers, Peers and Operators handle requests at the addresses of the same name.
	Callers, Peers, Operators http.Handler
	// Local maps addresses to the handlers for calls from this host's own programs and its platform. Empty addresses
	// are skipped.
	Local map[string]http.Handler
	// Control handles control calls.
	Control control.Handle
	// Pipelined is how many requests that a caller sends ahead on one connection are served concurrently; 0 or 1: one after
	// the other.
	Pipelined int
	// MayPipeline reports whether a caller's request without a body may be served beside others of its connection. It is
	// required if Pipelined is at least 2.
	MayPipeline func(*http.Request) bool
	// Scope receives the metrics.
	Scope tally.Scope
	// Bounds bound what the connections of each listener take.
	Bounds Bounds
	// DaemonsOnly returns a listener that accepts connections from daemons only.
	DaemonsOnly func(net.Listener) net.Listener
	// Logger receives the errors that net/http logs.
	Logger *slog.Logger
}

// Bounds are the bounds of the listeners.
type Bounds struct {
	// Callers and Peers are those of the listeners of the same name, and Local those of each listener for operators, check-ins and
	// readiness.
	Callers, Peers, Local guard.Config
}

// Servers are the daemon's servers.
type Servers struct {
	config    Config
	callers   *http.Server
	peers     *http.Server
	operators *http.Server
	pipeline  *pipeline.Pipeline // of callers' connections; nil if their requests are served one after the other
	failed    chan error

	listeners        []*accept.Listener // all
	public           []*accept.Listener // listeners for callers and peers
	operatorListener *accept.Listener
	local            []localServer
	stopping         atomic.Bool
	refusing         atomic.Bool
	unused           unusedConns
	// closing counts the connections whose close waits for a response or a 408 to be written.
	closing  atomic.Int64
	cleanUps []func()
}

// New opens all listeners, or none on failure, and starts to serve. The returned function closes what Stop leaves
// open: control calls, and Local if Stop was not called.
func New(config Config) (*Servers, func(), error) {
	s := &Servers{config: config, failed: make(chan error, serverCount)}
	s.makeServers()
	if err := s.listen(); err != nil {
		s.cleanUp()
		return nil, nil, err
	}
	return s, s.cleanUp, nil
}

func (s *Servers) cleanUp() {
	for _, cleanUp := range slices.Backward(s.cleanUps) {
		cleanUp()
	}
}

// Failed returns a channel that receives an error when a server fails for any reason other than a stop.
func (s *Servers) Failed() <-chan error { return s.failed }

// DisableKeepAlives adds "Connection: close" to all further responses to callers and peers, except those behind which
// requests of the same connection have been started. No further request is started ahead.
func (s *Servers) DisableKeepAlives() {
	if s.pipeline != nil {
		s.pipeline.StopStarting() // first, so that nothing is started behind a response with "Connection: close"
	}
	s.stopping.Store(true)
}

// Refuse stops new connections from callers and peers. Existing connections continue, including those that wait to be
// accepted. It must be called some time before Stop, since http.Server.Shutdown drops without a response a request
// whose head is read after the shutdown has begun.
func (s *Servers) Refuse() {
	s.refusing.Store(true)
	for _, listener := range s.public {
		listener.Refuse()
	}
}

// CloseUnused closes the connections on which no request has arrived.
func (s *Servers) CloseUnused() { s.unused.close() }

// Stop shuts down the servers for callers, then peers, then operators and this host's own programs. Each finishes its
// requests in flight first, unless ctx ends. Refuse must be called before Stop.
func (s *Servers) Stop(ctx context.Context) error {
	for _, listener := range s.public {
		listener.Wait(ctx)
	}
	s.CloseUnused() // connections that were accepted after Refuse
	if s.pipeline != nil {
		s.pipeline.StopStarting()
		s.pipeline.Wait(ctx) // http.Server.Shutdown does not wait for requests that net/http has not read
	}
	err := errors.Join(
		shutDown(ctx, s.callers, "callers"),
		shutDown(ctx, s.peers, "peers"),
	)
	s.operatorListener.Refuse()
	for _, local := range s.local {
		local.listener.Refuse()
	}
	s.operatorListener.Wait(ctx)
	for _, local := range s.local {
		local.listener.Wait(ctx)
	}
	s.CloseUnused()
	err = errors.Join(err, shutDown(ctx, s.operators, "operators"))
	for _, local := range s.local {
		err = errors.Join(err, shutDown(ctx, local.server, local.listener.Addr().String()))
	}
	s.awaitClosed(ctx)
	return err
}

// awaitClosed waits until all closing connections are closed, or ctx ends. Those that are not closed then are reset by the
// end of the process.
func (s *Servers) awaitClosed(ctx context.Context) {
	for s.closing.Load() > 0 && wait.For(ctx, closePollInterval) {
	}
	for _, listener := range s.listeners {
		if open := listener.AwaitClosed(ctx); open > 0 {
			event.Log(s.config.Logger, event.PeerCut, "listener", listener.Addr().String(), "connections", open)
		}
	}
}

// shutDown stops a server once its requests in flight have finished, or aborts them when ctx ends.
func shutDown(ctx context.Context, server *http.Server, name string) error {
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
		return errors.Wrapf(err, "shut down server for %s", name)
	}
	return nil
}

// listen opens all listeners, or none on failure, and starts to serve.
func (s *Servers) listen() error {
	listen := s.config.Listen
	sockets, err := s.openAll(listen.Callers, listen.Peers, listen.Operators, listen.Control)
	if err != nil {
		return err
	}
	if err := s.listenLocally(); err != nil {
		closeAll(sockets)
		return err
	}
	s.public = sockets[:2]
	s.operatorListener = sockets[2]
	s.serve(s.callers, framing.Listen(s.pipelined(sockets[0])), bounds{"callers", s.config.Bounds.Callers})
	s.serve(s.peers, s.config.DaemonsOnly(sockets[1]), bounds{"peers", s.config.Bounds.Peers})
	s.serve(s.operators, sockets[2], bounds{"operators", s.config.Bounds.Local})
	calls := s.config.DaemonsOnly(sockets[3])
	s.cleanUps = append(s.cleanUps, control.Serve(control.ServerConfig{Listener: calls, Handle: s.config.Control}))
	return nil
}

// pipelined returns a listener for callers that serves requests which were sent ahead, if the settings ask for it.
func (s *Servers) pipelined(socket net.Listener) net.Listener {
	if s.pipeline == nil {
		return socket
	}
	return s.pipeline.Listen(socket)
}

// localServer serves this host's own programs at one address.
type localServer struct {
	listener *accept.Listener
	server   *http.Server
}

// makeServers creates the servers without starting them.
func (s *Servers) makeServers() {
	limits := s.config.Limits
	s.operators = s.makeSmallServer(s.config.Operators)
	s.callers = s.makeServer(&http.Server{
		Handler:           s.closeWhenStopping(s.callersHandler()),
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes + headerSlack,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return framing.ConnContext(withConn(ctx, c), unwrap(c))
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			framing.ConnState(unwrap(c), state)
			s.track(c, state)
		},
	})
	s.peers = s.makeServer(&http.Server{
		Handler:           s.closeWhenStopping(s.config.Peers),
		ReadHeaderTimeout: peerHeaderTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes + 2*headerSlack,
		ConnContext:       withConn,
		ConnState:         s.track,
	})
}

// callersHandler returns the handler for callers' requests. It creates the pipeline if the settings ask for it.
func (s *Servers) callersHandler() http.Handler {
	if s.config.Pipelined <= 1 {
		return s.config.Callers
	}
	s.pipeline = pipeline.New(pipeline.Config{
		Limit:    s.config.Pipelined,
		MayStart: s.config.MayPipeline,
		Handler:  s.config.Callers,
		ErrorLog: s.newErrorLog(),
		Scope:    s.config.Scope,
	})
	return s.pipeline
}

// makeSmallServer creates a server for low traffic, from operators or this host's own programs.
func (s *Servers) makeSmallServer(handler http.Handler) *http.Server {
	return s.makeServer(&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: peerHeaderTimeout,
		IdleTimeout:       s.config.Limits.IdleTimeout,
		MaxHeaderBytes:    s.config.Limits.HeaderBytes + headerSlack,
		ConnContext:       withConn,
		ConnState:         s.track,
	})
}

// makeServer sets the fields that all servers have in common.
func (s *Servers) makeServer(server *http.Server) *http.Server {
	server.Handler = trackRequests(server.Handler)
	server.DisableGeneralOptionsHandler = true // net/http would answer OPTIONS * with 200, which no handler gave
	server.ErrorLog = s.newErrorLog()
	return server
}

// track updates the recorded state of a connection.
func (s *Servers) track(c net.Conn, state http.ConnState) {
	trackGuarded(c, state)
	s.unused.track(c, state)
}

// closeWhenStopping adds "Connection: close" to responses after DisableKeepAlives, unless requests behind this one have
// been started, whose responses must follow.
func (s *Servers) closeWhenStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() && pipeline.ConnOf(r.Context()).Behind() == 0 {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// newErrorLog returns a logger that passes net/http's messages to the daemon's rate-limited log.
func (s *Servers) newErrorLog() *log.Logger {
	return slog.NewLogLogger(s.config.Logger.Handler(), slog.LevelWarn)
}

// listenLocally opens the listeners for this host's own programs and its platform.
func (s *Servers) listenLocally() error {
	for address, handler := range s.config.Local {
		if address == "" {
			continue
		}
		sockets, err := s.openAll(address)
		if err != nil {
			return err
		}
		server := s.makeSmallServer(handler)
		s.serve(server, sockets[0], bounds{"local", s.config.Bounds.Local})
		s.local = append(s.local, localServer{listener: sockets[0], server: server})
		s.cleanUps = append(s.cleanUps, func() { _ = server.Close() })
	}
	return nil
}

// bounds are the bounds of a listener, with its name in metrics.
type bounds struct {
	listener string
	config   guard.Config
}

// serve serves the socket in the background. Failures that are not caused by a stop are sent to Failed.
func (s *Servers) serve(server *http.Server, socket net.Listener, b bounds) {
	listener := connListener{Listener: socket, closing: &s.closing, guard: guard.New(b.config), counts: newCrowdCounts(s.config.Scope, b.listener), rejecting: new(atomic.Int64)}
	go func() {
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !s.refusing.Load() {
			s.failed <- errors.Wrapf(err, "serve %s", socket.Addr())
		}
	}()
}

// openAll opens a listener at each address, or none on failure.
func (s *Servers) openAll(addresses ...string) ([]*accept.Listener, error) {
	var sockets []*accept.Listener
	for _, address := range addresses {
		socket, err := accept.Listen(accept.Config{Address: address, OnCut: s.logCut})
		if err != nil {
			closeAll(sockets)
			return nil, err
		}
		sockets = append(sockets, socket)
	}
	s.listeners = append(s.listeners, sockets...)
	return sockets, nil
}

// logCut logs a connection that was closed before its peer had received everything.
func (s *Servers) logCut(cut accept.Cut) {
	event.Log(s.config.Logger, event.PeerCut, "peer", cut.Peer, "unreceived_bytes", cut.Unreceived)
}

func closeAll(sockets []*accept.Listener) {
	for _, socket := range sockets {
		_ = socket.Close()
	}
}
