package daemon

import (
	"log"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/framing"
	"github.com/tideliftd/tidelift/internal/operator"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
)

const (
	// peerIdleTimeout is longer than an ingress keeps its idle connections.
	peerIdleTimeout = 90 * time.Second
	// peerHeaderTimeout bounds how long a peer may take to send its headers.
	peerHeaderTimeout = 5 * time.Second
	// headerSlack is added to the limit on headers, so that the ingress, not
	// net/http, refuses those just above it and says why.
	headerSlack = 32 << 10
)

// listeners are the daemon's servers.
type listeners struct {
	callers   *http.Server
	peers     *http.Server
	operators *http.Server
	failed    chan error

	sockets  []net.Listener // of callers and peers
	refusing atomic.Bool
	unused   unusedConns // of callers and peers
}

// refuse takes no new connections; those there are go on. It comes a while
// before http.Server.Shutdown, since that drops without an answer a request
// whose head it reads after it has begun.
func (l *listeners) refuse() {
	l.refusing.Store(true)
	closeAll(l.sockets)
}

// listen opens every listener, or none.
func (d *daemon) listen() (*listeners, error) {
	s := d.config.Settings
	handle := d.handlers().Handle
	operators, err := d.operatorHandler(handle)
	if err != nil {
		return nil, err
	}
	l := d.newListeners(operators)
	sockets, err := openAll(s.Listen.Callers, s.Listen.Peers, s.Listen.Operators, s.Listen.Control)
	if err != nil {
		return nil, err
	}
	if err := d.listenForHost(l); err != nil {
		closeAll(sockets)
		return nil, err
	}
	l.sockets = sockets[:2]
	l.serve(l.callers, framing.Listen(sockets[0]))
	l.serve(l.peers, d.daemonsOnly(sockets[1]))
	l.serve(l.operators, sockets[2])
	d.atEnd(control.Serve(control.ServerConfig{Listener: d.daemonsOnly(sockets[3]), Handle: handle}))
	return l, nil
}

// newListeners returns the servers, which do not serve yet.
func (d *daemon) newListeners(operators http.Handler) *listeners {
	s := d.config.Settings
	l := &listeners{
		operators: &http.Server{Handler: operators, ReadHeaderTimeout: peerHeaderTimeout, ErrorLog: d.errorLog()},
		failed:    make(chan error, 5),
	}
	l.callers = &http.Server{
		Handler:           d.closeWhenStopping(d.ingress),
		ReadHeaderTimeout: s.Limits.HeaderTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes + headerSlack,
		ErrorLog:          d.errorLog(),
		ConnContext:       framing.ConnContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			framing.ConnState(c, state)
			l.unused.track(c, state)
		},
	}
	l.peers = &http.Server{
		Handler:           d.closeWhenStopping(d.sidecar.Handler()),
		ReadHeaderTimeout: peerHeaderTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes + 2*headerSlack,
		ErrorLog:          d.errorLog(),
		ConnState:         l.unused.track,
	}
	return l
}

// errorLog takes what net/http has to say into the daemon's log, which is bounded.
func (d *daemon) errorLog() *log.Logger {
	return slog.NewLogLogger(d.config.Logger.Handler(), slog.LevelWarn)
}

// listenForHost opens what only this host's own programs and its platform call.
func (d *daemon) listenForHost(l *listeners) error {
	s := d.config.Settings.Listen
	mux := http.NewServeMux()
	mux.HandleFunc(d.config.ReadyPattern, d.serveReady)
	handlers := map[string]http.Handler{s.Registrations: d.config.Registrations(d.members.Registrations()), s.Ready: mux}
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		sockets, err := openAll(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: peerHeaderTimeout, ErrorLog: d.errorLog()}
		l.serve(server, sockets[0])
		d.atEnd(func() { _ = server.Close() })
	}
	return nil
}

// openAll opens a listener at each address, or none.
func openAll(addresses ...string) ([]net.Listener, error) {
	var sockets []net.Listener
	for _, address := range addresses {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			closeAll(sockets)
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		sockets = append(sockets, socket)
	}
	return sockets, nil
}

func closeAll(sockets []net.Listener) {
	for _, socket := range sockets {
		_ = socket.Close()
	}
}

// serve serves the socket; a failure that is not the stop ends the daemon.
func (l *listeners) serve(server *http.Server, socket net.Listener) {
	go func() {
		err := server.Serve(socket)
		if !errors.Is(err, http.ErrServerClosed) && !l.refusing.Load() {
			l.failed <- errors.Wrapf(err, "serve %s", socket.Addr())
		}
	}()
}

// operatorHandler serves the operator API, the metrics and the readiness page.
func (d *daemon) operatorHandler(handle control.Handle) (http.Handler, error) {
	api, err := operator.New(operator.Config{
		Customers:  d.limits.Allowances,
		Quarantine: d.quarantines.Records,
		Lift:       d.quarantines.Lift,
		Host:       d.config.Settings.Name,
		DataCentre: d.config.Settings.DataCentre,
		Ingress:    d.ingress,
		Status:     d.status,
		InForce:    d.declarations.Current,
		Ledger:     d.ledger,
		Publish:    d.declarations.Publish,
		Call:       d.peers.CallHost,
		Local:      handle,
	})
	if err != nil {
		return nil, errors.Wrap(err, "make operator API")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", d.withToken(api))
	mux.Handle("GET /metrics", d.metrics.Handler)
	mux.HandleFunc("GET /ready", d.serveReady)
	return mux, nil
}

// serveReady answers whether the daemon takes callers' requests.
func (d *daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch status := d.status(); {
	case status.Ready:
		w.WriteHeader(http.StatusOK)
	case status.Stopping:
		result.Write(w, result.New(result.Stopping))
	default:
		result.Write(w, result.New(result.NotReady).WithRetryAfter(retryafter.NotReady))
	}
}
