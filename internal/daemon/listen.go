package daemon

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/bound"
	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/operator"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/retryafter"
	"github.com/tideliftd/tidelift/internal/serve"
)

// listen opens the listeners and starts to serve the parts on them.
func (d *daemon) listen() (*serve.Servers, error) {
	handle := d.handlers().Handle
	operators, err := d.operatorHandler(handle)
	if err != nil {
		return nil, err
	}
	s := d.config.Settings
	servers, cleanUp, err := serve.New(serve.Config{
		Listen:      s.Listen,
		Limits:      s.Limits,
		Callers:     d.ingress,
		Peers:       d.sidecar.Handler(),
		Operators:   http.MaxBytesHandler(operators, bound.OperatorCall),
		Local:       d.localHandlers(),
		Control:     handle,
		Pipelined:   s.LongRequests.Pipelined,
		MayPipeline: d.ingress.MayPipeline,
		Scope:       d.metrics.Scope,
		Bounds:      boundsOf(s.Limits),
		DaemonsOnly: d.daemonsOnly,
		Logger:      d.config.Logger,
	})
	if err != nil {
		return nil, err
	}
	d.addCleanUp(cleanUp)
	return servers, nil
}

// localHandlers returns the handlers for this host's own programs and its platform, by address.
func (d *daemon) localHandlers() map[string]http.Handler {
	ready := http.NewServeMux()
	ready.HandleFunc(d.config.ReadyPattern, d.serveReady)
	return map[string]http.Handler{
		d.config.Settings.Listen.Registrations: d.config.Registrations(d.members.Registrations()),
		d.config.Settings.Listen.Ready:         ready,
	}
}

// operatorHandler returns the handler for the operator API, the metrics and the readiness check.
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
		Evacuate:   d.evacuations.Set,
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

// serveReady responds whether the daemon accepts callers' requests.
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
