// Package operator implements the operator API, which shows the state of the fleet
// with the evidence behind it and changes the declaration.
//
// # Usage
//
//	handler, err := operator.New(operator.Config{ ... })
//	http.Serve(listener, handler)
//
// Every daemon serves the API for the whole fleet. The state of a backend server
// is that observed by the daemon's own ingress; why adds the view of the backend
// server's sidecar, which is requested by a control call. api/operator.yaml
// describes the API.
package operator

import (
	"context"
	"net/http"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/declaration"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/ingress"
	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/quota"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

// Config configures the API.
type Config struct {
	// Host and DataCentre name the daemon.
	Host, DataCentre string
	// Ingress provides this daemon's view of the path to the backend servers.
	Ingress *ingress.Ingress
	// Status returns the status of this daemon.
	Status func() operatorapi.Status
	// InForce returns the declaration in force and reports false if there is none yet.
	InForce func() (declaration.InForce, bool)
	// Customers returns the allowances of the customers near their limit, and the number of requests
	// that this daemon refused, by customer.
	Customers func() (map[string]quota.Allowance, map[string]int64)
	// Quarantine returns the suspected and quarantined requests. Lift allows the request with the fingerprint to
	// run again.
	Quarantine func() []quarantine.Record
	Lift       func(ctx context.Context, fingerprint string) (quarantine.Record, error)
	// Ledger reads past revisions.
	Ledger *revision.Ledger
	// Evacuate begins or ends the evacuation of a data centre.
	Evacuate func(ctx context.Context, dataCentre string, evacuated bool) error
	// Publish publishes a change as the next revision.
	Publish func(context.Context, revision.Change) (revision.Accepted, error)
	// Call makes a control call to the daemon of another host.
	Call func(ctx context.Context, host fleet.Host, method control.Method, params, answer any) error
	// Local handles a control call to this daemon.
	Local control.Handle
}

// New returns the handler of the API.
func New(config Config) (http.Handler, error) {
	return operatorapi.NewServer(&server{config: config})
}

type server struct{ config Config }

// Status returns the status of the daemon.
func (s *server) Status(context.Context) (*operatorapi.Status, error) {
	status := s.config.Status()
	return &status, nil
}

// ListServices returns the services in force.
func (s *server) ListServices(context.Context) ([]operatorapi.Service, error) {
	inForce, err := s.inForce()
	if err != nil {
		return nil, err
	}
	services := make([]operatorapi.Service, 0, len(inForce.Index.Declaration.Services))
	for _, declared := range inForce.Index.Declaration.Services {
		services = append(services, s.describeService(declared))
	}
	return services, nil
}

// ListBackendServers returns this daemon's view of the backend servers.
func (s *server) ListBackendServers(_ context.Context, params operatorapi.ListBackendServersParams) ([]operatorapi.BackendServer, error) {
	inForce, err := s.inForce()
	if err != nil {
		return nil, err
	}
	wanted, one := params.Service.Get()
	if _, ok := inForce.Index.Service(wanted); one && !ok {
		return nil, result.New(result.NotDeclared).WithDetail("no service %q", wanted)
	}
	servers := []operatorapi.BackendServer{}
	for _, declared := range inForce.Index.Declaration.Services {
		if one && declared.Name != wanted {
			continue
		}
		servers = append(servers, s.describeServers(declared)...)
	}
	return servers, nil
}

// ListCustomers returns the customers in force and their allowances.
func (s *server) ListCustomers(context.Context) ([]operatorapi.Customer, error) {
	inForce, err := s.inForce()
	if err != nil {
		return nil, err
	}
	allowances, refused := s.config.Customers()
	customers := []operatorapi.Customer{}
	for _, c := range inForce.Index.Declaration.Customers {
		customers = append(customers, describeCustomer(c, allowances, refused[c.Name]))
	}
	return customers, nil
}

// ListQuarantine returns the suspected and quarantined requests.
func (s *server) ListQuarantine(context.Context) ([]operatorapi.HeldRequest, error) {
	held := []operatorapi.HeldRequest{}
	for _, record := range s.config.Quarantine() {
		if record.Suspected() {
			held = append(held, describeHeldRequest(record))
		}
	}
	return held, nil
}

// LiftQuarantine allows a request to be sent to backend servers again.
func (s *server) LiftQuarantine(ctx context.Context, r *operatorapi.Lift) (*operatorapi.HeldRequest, error) {
	record, err := s.config.Lift(ctx, r.Fingerprint)
	if err != nil {
		return nil, err
	}
	held := describeHeldRequest(record)
	return &held, nil
}

// Why returns the evidence of the ingress and the sidecar for the state of a backend server.
func (s *server) Why(ctx context.Context, params operatorapi.WhyParams) (*operatorapi.Why, error) {
	placement, err := s.placement(params.BackendServer)
	if err != nil {
		return nil, err
	}
	why := &operatorapi.Why{
		BackendServer: placement.BackendServer.Name,
		Service:       placement.Service.Name,
		Asked:         s.config.Host,
	}
	if observer, ok := s.ingressObserver(placement); ok {
		why.Witnesses = append(why.Witnesses, observer)
	}
	why.Witnesses = append(why.Witnesses, s.sidecarObserver(ctx, placement))
	return why, nil
}

// Drain notifies the sidecar of a backend server that it is draining, or no longer.
func (s *server) Drain(ctx context.Context, r *operatorapi.Drain) (*operatorapi.BackendServer, error) {
	placement, err := s.placement(r.BackendServer)
	if err != nil {
		return nil, err
	}
	var report sidecar.Report
	params := control.Drain{Name: r.BackendServer, Draining: r.Leaving}
	if err := s.call(ctx, placement.Host, control.MethodDrain, params, &report); err != nil {
		return nil, err
	}
	described := describeReport(placement, report)
	return &described, nil
}

// GetDeclaration returns the declaration in force.
func (s *server) GetDeclaration(context.Context) (*operatorapi.Declaration, error) {
	inForce, err := s.inForce()
	if err != nil {
		return nil, err
	}
	return describeRevision(inForce.Revision.YAML, inForce.Revision.Accepted), nil
}

// ApplyDeclaration validates a declaration and publishes it as the next revision.
func (s *server) ApplyDeclaration(ctx context.Context, r *operatorapi.Change) (*operatorapi.Declaration, error) {
	if _, err := fleet.Parse("declaration", []byte(r.Yaml)); err != nil {
		return nil, result.New(result.BadDeclaration).WithDetail("%s", err)
	}
	if r.ChangeID == "" {
		return nil, result.New(result.MalformedCall).WithDetail("change_id is empty")
	}
	change := revision.Change{
		ID:     r.ChangeID,
		Base:   r.BaseRevision,
		YAML:   r.Yaml,
		Author: r.Author.Or(""),
		Reason: r.Reason.Or(""),
	}
	accepted, err := s.config.Publish(ctx, change)
	if err != nil {
		return nil, err
	}
	return describeRevision(r.Yaml, accepted), nil
}

// NewError converts an error to an error response of the API.
func (s *server) NewError(_ context.Context, err error) *operatorapi.RefusedStatusCode {
	e := result.From(err)
	refusal := operatorapi.Refusal{Code: e.Code.Number, Name: e.Code.Name, Detail: e.Detail}
	if e.Detail == "" {
		refusal.Detail = e.Code.Meaning
	}
	if e.RetryAfter > 0 {
		refusal.RetryAfterMs = operatorapi.NewOptInt64(e.RetryAfter.Milliseconds())
	}
	return &operatorapi.RefusedStatusCode{StatusCode: e.Code.Status, Response: refusal}
}

func (s *server) inForce() (declaration.InForce, error) {
	inForce, ok := s.config.InForce()
	if !ok {
		return declaration.InForce{}, result.New(result.NotReady)
	}
	return inForce, nil
}

func (s *server) placement(name string) (*fleet.Placement, error) {
	inForce, err := s.inForce()
	if err != nil {
		return nil, err
	}
	placement, ok := inForce.Index.BackendServer(name)
	if !ok {
		return nil, result.New(result.NotDeclared).WithDetail("no backend server %q", name)
	}
	return placement, nil
}
