package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/operatorapi"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/quota"
	"github.com/tideliftd/tidelift/internal/result"
	"github.com/tideliftd/tidelift/internal/revision"
	"github.com/tideliftd/tidelift/internal/sidecar"
)

// callTimeout limits a control call made for an operator, who waits for the result.
const callTimeout = 2 * time.Second

const (
	observerIngress = "ingress"
	observerSidecar = "sidecar"

	stateServing     = "serving"
	stateAvoided     = "avoided"
	stateRefusesWork = "refuses-work"
	stateEvacuated   = "evacuated"
	stateUnknown     = "unknown"
)

func (s *server) describeService(declared fleet.Service) operatorapi.Service {
	able := 0
	for _, server := range s.describeServers(declared) {
		if server.State == stateServing {
			able++
		}
	}
	return operatorapi.Service{
		Name:           declared.Name,
		Floor:          declared.Floor,
		BackendServers: len(declared.BackendServers),
		Able:           able,
		DeadlineMs:     declared.Deadline.Milliseconds(),
		Detection:      string(declared.Detection),
		Adoption:       string(declared.AdoptionIn(s.config.DataCentre)),
	}
}

func (s *server) describeServers(declared fleet.Service) []operatorapi.BackendServer {
	pool, ok := s.config.Ingress.Pool(declared.Name)
	if !ok {
		return nil
	}
	var servers []operatorapi.BackendServer
	for _, target := range slices.Concat(pool.Targets(), pool.Evacuated()) {
		servers = append(servers, s.describeTarget(declared, pool, target))
	}
	return servers
}

func (s *server) describeTarget(declared fleet.Service, pool *balance.Pool, target *balance.Target) operatorapi.BackendServer {
	placement := target.Placement()
	explanation, _, _ := s.config.Ingress.Explain(declared.Name, target.Name)
	return operatorapi.BackendServer{
		Name:       target.Name,
		Service:    declared.Name,
		DataCentre: placement.Host.DataCentre,
		Host:       placement.Host.Name,
		State:      pathState(pool, target, explanation),
		Cause:      string(explanation.Cause),
		InFlight:   target.InFlight(),
		Load:       target.Load(),
		Requests:   target.Requests(),
		Failures:   target.Failures(),
	}
}

// pathState returns the state of a target as this daemon treats it, based on
// refusals from the target itself or on observations of the path to it.
func pathState(pool *balance.Pool, target *balance.Target, explanation detect.Explanation) string {
	switch {
	case slices.Contains(pool.Evacuated(), target):
		return stateEvacuated
	case explanation.State == detect.Ejected:
		return stateAvoided
	case explanation.State == detect.Probation:
		return string(detect.Probation)
	case pool.Paused(target, time.Now()):
		return stateRefusesWork
	default:
		return stateServing
	}
}

func describeReport(placement *fleet.Placement, report sidecar.Report) operatorapi.BackendServer {
	return operatorapi.BackendServer{
		Name:       report.BackendServer,
		Service:    report.Service,
		DataCentre: placement.Host.DataCentre,
		Host:       placement.Host.Name,
		State:      string(report.State),
		Cause:      string(report.Detection.Cause),
		InFlight:   report.Running,
		Load:       report.Load,
		Requests:   report.Detection.Observed,
		Failures:   report.Detection.Failures,
	}
}

func describeCustomer(c fleet.Customer, allowances map[string]quota.Allowance, refused int64) operatorapi.Customer {
	described := operatorapi.Customer{Name: c.Name, Keys: len(c.Keys), Rate: c.Rate, Burst: c.Burst, Share: 1, Refused: refused}
	if c.Priority != nil {
		described.Priority = operatorapi.NewOptInt(*c.Priority)
	}
	if allowance, near := allowances[c.Name]; near {
		described.Share = allowance.Share
		described.Level = operatorapi.NewOptFloat64(allowance.Level)
	}
	return described
}

func describeRevision(text string, accepted revision.Accepted) *operatorapi.Declaration {
	return &operatorapi.Declaration{
		Revision: accepted.Revision,
		Yaml:     text,
		Author:   accepted.Author,
		Reason:   accepted.Reason,
		ChangeID: accepted.ID,
	}
}

// ingressObserver describes what this daemon observes on the path to the backend
// server. It reports false if the ingress does not know the backend server.
func (s *server) ingressObserver(placement *fleet.Placement) (operatorapi.Witness, bool) {
	name := placement.BackendServer.Name
	explanation, floor, ok := s.config.Ingress.Explain(placement.Service.Name, name)
	if !ok {
		return operatorapi.Witness{}, false
	}
	observer := newObserver(observerIngress, s.config.Host, explanation)
	observer.Floor = floor
	if pool, ok := s.config.Ingress.Pool(placement.Service.Name); ok {
		for _, target := range slices.Concat(pool.Targets(), pool.Evacuated()) {
			if target.Name == name {
				observer.State = pathState(pool, target, explanation)
			}
		}
	}
	return observer, true
}

// sidecarObserver describes what the backend server's own daemon observes, or that
// it did not respond.
func (s *server) sidecarObserver(ctx context.Context, placement *fleet.Placement) operatorapi.Witness {
	var report sidecar.Report
	err := s.call(ctx, placement.Host, control.MethodReport, control.Name{Name: placement.BackendServer.Name}, &report)
	if err != nil {
		return operatorapi.Witness{
			Witness:  observerSidecar,
			Daemon:   placement.Host.Name,
			State:    stateUnknown,
			Cause:    result.From(err).Error(),
			Evidence: []operatorapi.Evidence{},
		}
	}
	observer := newObserver(observerSidecar, placement.Host.Name, report.Detection)
	observer.State = string(report.State)
	observer.Floor = report.Floor
	observer.Evidence = append(observer.Evidence,
		operatorapi.Evidence{Name: "running", Value: strconv.Itoa(report.Running)},
		operatorapi.Evidence{Name: "waiting", Value: strconv.Itoa(report.Waiting)},
		operatorapi.Evidence{Name: "load", Value: fmt.Sprintf("%.2f", report.Load)},
	)
	return observer
}

func newObserver(kind, daemon string, explanation detect.Explanation) operatorapi.Witness {
	return operatorapi.Witness{
		Witness:  kind,
		Daemon:   daemon,
		State:    string(explanation.State),
		Cause:    string(explanation.Cause),
		Rule:     explanation.Rule,
		SinceMs:  explanation.Since.Milliseconds(),
		Evidence: evidence(explanation),
	}
}

func evidence(explanation detect.Explanation) []operatorapi.Evidence {
	const percent = 100
	compared := func(own, others float64) string {
		return fmt.Sprintf("%.0f%% of late, the others %.0f%%", own*percent, others*percent)
	}
	millis := func(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
	return []operatorapi.Evidence{
		{Name: "requests", Value: strconv.FormatInt(explanation.Observed, 10)},
		{Name: "failures", Value: fmt.Sprintf("%d; %s", explanation.Failures, compared(explanation.FailureRate, explanation.OthersFailure))},
		{Name: "slow", Value: compared(explanation.SlowRate, explanation.OthersSlow)},
		{Name: "takes", Value: fmt.Sprintf("%s, the others %s", millis(explanation.TypicalLatency), millis(explanation.OthersTypicalLatency))},
	}
}

// call makes a control call to the daemon of the host, which may be this one.
func (s *server) call(ctx context.Context, host fleet.Host, method control.Method, params, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if host.Name == s.config.Host {
		return s.callLocal(ctx, method, params, answer)
	}
	return s.config.Call(ctx, host, method, params, answer)
}

func (s *server) callLocal(ctx context.Context, method control.Method, params, answer any) error {
	encoded, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, "encode call")
	}
	got, err := s.config.Local(ctx, method, encoded)
	if err != nil {
		return err
	}
	data, err := json.Marshal(got)
	if err != nil {
		return errors.Wrap(err, "encode response")
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}

// describeHeldRequest describes a suspected or quarantined request.
func describeHeldRequest(record quarantine.Record) operatorapi.HeldRequest {
	held := operatorapi.HeldRequest{
		Fingerprint: record.ID,
		Standing:    string(record.Status()),
		Service:     record.Service,
		Method:      record.Method,
		Host:        record.Host,
		Path:        record.Path,
		Ended:       record.Servers(),
		Epoch:       record.Epoch,
	}
	if last := record.LastEnd(); !last.IsZero() {
		held.LastEnd = operatorapi.NewOptDateTime(last)
	}
	if record.TrialHost != "" {
		held.Tried = operatorapi.NewOptString(record.TrialHost)
	}
	return held
}
