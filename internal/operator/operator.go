// Package operator answers the operator API: what the fleet believes and why,
// and changes to what is declared.
//
// # Usage
//
//	handler, err := operator.New(operator.Config{ ... })
//	http.Serve(listener, handler)
//
// Any daemon answers for the fleet. What it shows of a backend server is its
// own ingress's view; why adds the view of the backend server's sidecar, asked
// over a control call. api/operator.yaml describes the API.
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

// Config holds what the API asks.
type Config struct {
	// Host and DataCentre name the daemon.
	Host, DataCentre string
	// Ingress gives this daemon's view of the path to the backend servers.
	Ingress *ingress.Ingress
	// Status returns what the daemon says of itself.
	Status func() operatorapi.Status
	// InForce returns the declaration in force; false if there is none yet.
	InForce func() (declaration.InForce, bool)
	// Customers returns the allowances of the customers near their limit, and how many requests of
	// each were refused here.
	Customers func() (map[string]quota.Allowance, map[string]int64)
	// Quarantine returns the suspected and quarantined requests, and Lift lets one of that fingerprint run again.
	Quarantine func() []quarantine.Record
	Lift       func(ctx context.Context, fingerprint string) (quarantine.Record, error)
	// Ledger reads past revisions.
	Ledger *revision.Ledger
	// Publish makes a change the next revision.
	Publish func(context.Context, revision.Change) (revision.Accepted, error)
	// Call makes a control call to the daemon of another host.
	Call func(ctx context.Context, host fleet.Host, method control.Method, params, answer any) error
	// Local answers a control call at this daemon.
	Local control.Handle
}

// New returns the API's handler.
func New(config Config) (http.Handler, error) {
	return operatorapi.NewServer(&server{config: config})
}

type server struct{ config Config }

// Status answers with who the daemon is.
func (s *server) Status(context.Context) (*operatorapi.Status, error) {
	status := s.config.Status()
	return &status, nil
}

// ListServices answers with the services in force.
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

// ListBackendServers answers with this daemon's view of the backend servers.
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

// ListCustomers answers with the customers in force and their allowances.
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

// ListQuarantine answers with the suspected and quarantined requests.
func (s *server) ListQuarantine(context.Context) ([]operatorapi.HeldRequest, error) {
	held := []operatorapi.HeldRequest{}
	for _, record := range s.config.Quarantine() {
		if record.Suspected() {
			held = append(held, describeHeld(record))
		}
	}
	return held, nil
}

// LiftQuarantine lets backend servers be sent a request again.
func (s *server) LiftQuarantine(ctx context.Context, r *operatorapi.Lift) (*operatorapi.HeldRequest, error) {
	record, err := s.config.Lift(ctx, r.Fingerprint)
	if err != nil {
		return nil, err
	}
	held := describeHeld(record)
	return &held, nil
}

// Why answers with the evidence of both observers.
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

// Drain tells the backend server's sidecar that it is draining, or no longer.
func (s *server) Drain(ctx context.Context, r *operatorapi.Drain) (*operatorapi.BackendServer, error) {
	placement, err := s.placement(r.BackendServer)
	if err != nil {
		return nil, err
	}
	var report sidecar.Report
	params := control.Drain{Name: r.BackendServer, Draining: r.Leaving}
	if err := s.ask(ctx, placement.Host, control.MethodDrain, params, &report); err != nil {
		return nil, err
	}
	described := describeReport(placement, report)
	return &described, nil
}

// GetDeclaration answers with the declaration in force.
func (s *server) GetDeclaration(context.Context) (*operatorapi.Declaration, error) {
	inForce, err := s.inForce()
	if err != nil {
		return nil, err
	}
	return describeRevision(inForce.Revision.YAML, inForce.Revision.Accepted), nil
}

// ApplyDeclaration checks a declaration and makes it the next revision.
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

// NewError turns a failure into the API's refusal.
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

func (s *server) placement(name string) (fleet.Placement, error) {
	inForce, err := s.inForce()
	if err != nil {
		return fleet.Placement{}, err
	}
	placement, ok := inForce.Index.BackendServer(name)
	if !ok {
		return fleet.Placement{}, result.New(result.NotDeclared).WithDetail("no backend server %q", name)
	}
	return placement, nil
}
