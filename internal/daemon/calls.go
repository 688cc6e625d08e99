package daemon

import (
	"context"
	"encoding/json"

	"github.com/tideliftd/tidelift/internal/control"
)

// handlers returns the handler of each control method.
func (d *daemon) handlers() control.Handlers {
	return control.Handlers{
		control.MethodReport:           d.handleReport,
		control.MethodDrain:            d.handleDrain,
		control.MethodDraining:         d.handleDraining,
		control.MethodPing:             d.handlePing,
		control.MethodSuspicionCleared: d.handleTrusted,
		control.MethodSubrequest:       d.handleSubrequest,
		control.MethodHost:             d.hostList.HandleHost,
		control.MethodNotice:           d.declarations.HandleNotice,
		control.MethodHostUpdates:      d.members.HandleUpdates,
		control.MethodRevision:         d.declarations.HandleRevision,
		control.MethodQuarantine:       d.handleQuarantine,
		control.MethodEvacuations:      d.handleEvacuations,
		control.MethodLend:             d.lender.HandleLend,
		control.MethodReportCounts:     d.limits.HandleCountReport,
		control.MethodRequestLease:     d.handleAsk,
		control.MethodRelease:          d.handleRelease,
	}
}

func (d *daemon) handlePing(context.Context, json.RawMessage) (any, error) {
	return control.Done{}, nil
}

func (d *daemon) handleReport(_ context.Context, params json.RawMessage) (any, error) {
	var name control.Name
	if err := control.Decode(params, &name); err != nil {
		return nil, err
	}
	return d.sidecar.Report(name.Name)
}

func (d *daemon) handleDrain(_ context.Context, params json.RawMessage) (any, error) {
	var drain control.Drain
	if err := control.Decode(params, &drain); err != nil {
		return nil, err
	}
	if err := d.sidecar.Drain(drain.Name, drain.Draining); err != nil {
		return nil, err
	}
	return d.sidecar.Report(drain.Name)
}

func (d *daemon) handleDraining(_ context.Context, params json.RawMessage) (any, error) {
	var draining control.Draining
	if err := control.Decode(params, &draining); err != nil {
		return nil, err
	}
	d.ingress.MarkDraining(draining.Names)
	return control.Done{}, nil
}

func (d *daemon) handleTrusted(_ context.Context, params json.RawMessage) (any, error) {
	var cleared control.SuspicionCleared
	if err := control.Decode(params, &cleared); err != nil {
		return nil, err
	}
	d.ingress.ClearSuspicion(cleared.Names)
	return control.Done{}, nil
}

func (d *daemon) handleAsk(_ context.Context, params json.RawMessage) (any, error) {
	var ask control.LeaseRequest
	if err := control.Decode(params, &ask); err != nil {
		return nil, err
	}
	return d.sidecar.GrantLease(ask.Name, ask.Request)
}

func (d *daemon) handleRelease(_ context.Context, params json.RawMessage) (any, error) {
	var release control.Release
	if err := control.Decode(params, &release); err != nil {
		return nil, err
	}
	return control.Done{}, d.sidecar.Release(release.Name, release.Release)
}

// handleQuarantine merges the requests that another daemon suspects or has quarantined.
func (d *daemon) handleQuarantine(_ context.Context, params json.RawMessage) (any, error) {
	var received control.Quarantine
	if err := control.Decode(params, &received); err != nil {
		return nil, err
	}
	d.quarantines.Merge(received.Records)
	return control.Done{}, nil
}

// handleSubrequest merges another host's evidence of the calls of this host's service.
func (d *daemon) handleSubrequest(_ context.Context, params json.RawMessage) (any, error) {
	var received control.Subrequest
	if err := control.Decode(params, &received); err != nil {
		return nil, err
	}
	if received.Service != d.config.Settings.Service {
		return control.SubrequestResponse{}, nil
	}
	return control.SubrequestResponse{Routes: d.ingress.MergeSubrequestEvidence(received.Seen)}, nil
}
