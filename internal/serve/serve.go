// Package serve opens the listeners of a daemon and ends each after the requests that it has taken.
// A connection that was made before a listener ends is served (package accept). A connection that the daemon
// closes while no request has begun there brings a 408 first, so that a request that crosses the close is
// refused and not lost (conn.go).
//
// There are four: callers and other daemons' hops, which a planned stop ends gently, operators, and control calls. A
// host's own programs may be given others (Local).
//
// A planned stop goes in this order: CloseAfterAnswers has answers ask the other side to close its connection;
// Refuse makes no new ones; CloseUnused closes those on which no request has come; Stop waits for the
// requests that have begun, or cuts them when its context ends.
//
// The package owns the sockets and servers. It relies on the handlers it is given, and on
// internal/framing for the bytes of callers.
//
// # Usage
//
//	servers, cleanUp, err := serve.New(serve.Config{Listen: s.Listen, Limits: s.Limits, Callers: ingress, Peers: sidecar, ...})
//	defer cleanUp()
//	err = <-servers.Failed()
//	servers.CloseAfterAnswers()
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

	"github.com/tideliftd/tidelift/internal/accept"
	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/framing"
	"github.com/tideliftd/tidelift/internal/settings"
	"github.com/tideliftd/tidelift/internal/wait"
)

const (
	// peerIdleTimeout is how long an idle connection of a peer is kept. Source: longer than an ingress
	// keeps its idle connections, so that it never sends a request on one that is just closed here.
	peerIdleTimeout = 90 * time.Second
	// peerHeaderTimeout bounds how long a peer may take to send its headers. Not measured: many round
	// trips between data centres, and a silent connection holds little.
	peerHeaderTimeout = 5 * time.Second
	// headerSlack, in bytes, is added to the limit on headers, so that the ingress, not
	// net/http, refuses those just above it and says why.
	headerSlack = 32 << 10
	// closedPause is the pause between two looks at whether all connections are closed. Not measured: a planned stop
	// takes a second and more.
	closedPause = 5 * time.Millisecond
	// serverCount is how many servers may fail: callers, peers, operators, registrations and readiness.
	serverCount = 5
)

// Config says where to listen and who answers.
type Config struct {
	Listen settings.Listen
	Limits settings.Limits
	// Callers, Peers and Operators answer requests at the addresses of the same name.
	Callers, Peers, Operators http.Handler
	// Local answers what only this host's own programs and its platform call, by address; one without an
	// address is left out.
	Local map[string]http.Handler
	// Control answers control calls.
	Control control.Handle
	// DaemonsOnly returns a listener that takes daemons' connections alone.
	DaemonsOnly func(net.Listener) net.Listener
	// Logger receives what net/http has to say.
	Logger *slog.Logger
}

// Servers are the daemon's servers.
type Servers struct {
	config    Config
	callers   *http.Server
	peers     *http.Server
	operators *http.Server
	failed    chan error

	public           []*accept.Listener // of callers and peers
	operatorListener *accept.Listener
	local            []localServer
	stopping         atomic.Bool
	refusing         atomic.Bool
	unused           unusedConns
	// open counts the connections that were closed and are not yet: their answer, or a 408, is on its way.
	open     atomic.Int64
	cleanUps []func()
}

// New opens every listener, or none, and serves. The function that it returns closes what Stop leaves:
// control calls, and Local if Stop was not called.
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

// Failed is sent an error when a server fails otherwise than by a stop.
func (s *Servers) Failed() <-chan error { return s.failed }

// DisableKeepAlives has each answer from now on ask callers and peers to close their connection.
func (s *Servers) DisableKeepAlives() { s.stopping.Store(true) }

// Refuse makes no new connections of callers and peers; those there are go on, also those that wait to be
// accepted. It comes a while before http.Server.Shutdown, since that drops without an answer a request
// whose head it reads after it has begun.
func (s *Servers) Refuse() {
	s.refusing.Store(true)
	for _, listener := range s.public {
		listener.Refuse()
	}
}

// CloseUnused closes the connections on which no request has come.
func (s *Servers) CloseUnused() { s.unused.close() }

// Stop ends callers first, then peers, then operators and this host's own programs, each after finishing
// what it has begun, or when ctx ends. It comes after Refuse.
func (s *Servers) Stop(ctx context.Context) error {
	for _, listener := range s.public {
		listener.Wait(ctx)
	}
	s.CloseUnused() // those that were accepted since Refuse
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

// awaitClosed waits until the connections that were closed are, or ctx ends.
func (s *Servers) awaitClosed(ctx context.Context) {
	for s.open.Load() > 0 && wait.For(ctx, closedPause) {
	}
}

// shutDown ends a server once it has finished what it has begun, or cuts that when
// ctx ends.
func shutDown(ctx context.Context, server *http.Server, name string) error {
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
		return errors.Wrapf(err, "stop serving %s", name)
	}
	return nil
}

// listen opens every listener, or none, and serves.
func (s *Servers) listen() error {
	listen := s.config.Listen
	sockets, err := openAll(listen.Callers, listen.Peers, listen.Operators, listen.Control)
	if err != nil {
		return err
	}
	if err := s.listenLocally(); err != nil {
		closeAll(sockets)
		return err
	}
	s.public = sockets[:2]
	s.operatorListener = sockets[2]
	s.serve(s.callers, framing.Listen(sockets[0]))
	s.serve(s.peers, s.config.DaemonsOnly(sockets[1]))
	s.serve(s.operators, sockets[2])
	calls := s.config.DaemonsOnly(sockets[3])
	s.cleanUps = append(s.cleanUps, control.Serve(control.ServerConfig{Listener: calls, Handle: s.config.Control}))
	return nil
}

// localServer serves this host's own programs at one address.
type localServer struct {
	listener *accept.Listener
	server   *http.Server
}

// makeServers makes the servers, which do not serve yet.
func (s *Servers) makeServers() {
	limits := s.config.Limits
	s.operators = s.makeSmallServer(s.config.Operators)
	s.callers = s.makeServer(&http.Server{
		Handler:           s.closeWhenStopping(s.config.Callers),
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

// makeSmallServer makes a server for few requests, of operators or of this host's own programs.
func (s *Servers) makeSmallServer(handler http.Handler) *http.Server {
	return s.makeServer(&http.Server{
		Handler:           handler,
		ReadHeaderTimeout: peerHeaderTimeout,
		ConnContext:       withConn,
		ConnState:         s.track,
	})
}

// makeServer completes a server with what all have in common.
func (s *Servers) makeServer(server *http.Server) *http.Server {
	server.Handler = runOpen(server.Handler)
	server.ErrorLog = s.errorLog()
	return server
}

// track follows the state of a connection.
func (s *Servers) track(c net.Conn, state http.ConnState) {
	trackIdle(c, state)
	s.unused.track(c, state)
}

// closeWhenStopping asks the other side to close its connection after CloseAfterAnswers.
func (s *Servers) closeWhenStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// errorLog takes what net/http has to say into the daemon's log, which is bounded.
func (s *Servers) errorLog() *log.Logger {
	return slog.NewLogLogger(s.config.Logger.Handler(), slog.LevelWarn)
}

// listenLocally opens what only this host's own programs and its platform call.
func (s *Servers) listenLocally() error {
	for address, handler := range s.config.Local {
		if address == "" {
			continue
		}
		sockets, err := openAll(address)
		if err != nil {
			return err
		}
		server := s.makeSmallServer(handler)
		s.serve(server, sockets[0])
		s.local = append(s.local, localServer{listener: sockets[0], server: server})
		s.cleanUps = append(s.cleanUps, func() { _ = server.Close() })
	}
	return nil
}

// serve serves the socket; a failure that is not the stop is sent to Failed.
func (s *Servers) serve(server *http.Server, socket net.Listener) {
	go func() {
		err := server.Serve(connListener{Listener: socket, open: &s.open})
		if !errors.Is(err, http.ErrServerClosed) && !s.refusing.Load() {
			s.failed <- errors.Wrapf(err, "serve %s", socket.Addr())
		}
	}()
}

// openAll opens a listener at each address, or none.
func openAll(addresses ...string) ([]*accept.Listener, error) {
	var sockets []*accept.Listener
	for _, address := range addresses {
		socket, err := accept.Listen(address)
		if err != nil {
			closeAll(sockets)
			return nil, err
		}
		sockets = append(sockets, socket)
	}
	return sockets, nil
}

func closeAll(sockets []*accept.Listener) {
	for _, socket := range sockets {
		_ = socket.Close()
	}
}
