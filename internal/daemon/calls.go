package daemon

import (
	"context"
	"encoding/json"

	"github.com/tideliftd/tidelift/internal/control"
)

// handlers returns who answers each control call.
func (d *daemon) handlers() control.Handlers {
	return control.Handlers{
		control.MethodReport:       d.callReport,
		control.MethodDrain:        d.callDrain,
		control.MethodDraining:     d.callDraining,
		control.MethodPing:         d.callPing,
		control.MethodTrusted:      d.callTrusted,
		control.MethodSubrequest:   d.callSubrequest,
		control.MethodHost:         d.hostList.HandleHost,
		control.MethodNotice:       d.declarations.HandleNotice,
		control.MethodHostUpdates:  d.members.HandleUpdates,
		control.MethodRevision:     d.declarations.HandleRevision,
		control.MethodQuarantine:   d.callQuarantine,
		control.MethodLend:         d.lender.HandleLend,
		control.MethodReportCounts: d.limits.HandleCounted,
		control.MethodRequestLease: d.callAsk,
		control.MethodRelease:      d.callRelease,
	}
}

func (d *daemon) callPing(context.Context, json.RawMessage) (any, error) { return control.Done{}, nil }

func (d *daemon) callReport(_ context.Context, params json.RawMessage) (any, error) {
	var name control.Name
	if err := control.Decode(params, &name); err != nil {
		return nil, err
	}
	return d.sidecar.Report(name.Name)
}

func (d *daemon) callDrain(_ context.Context, params json.RawMessage) (any, error) {
	var drain control.Drain
	if err := control.Decode(params, &drain); err != nil {
		return nil, err
	}
	if err := d.sidecar.Drain(drain.Name, drain.Draining); err != nil {
		return nil, err
	}
	return d.sidecar.Report(drain.Name)
}

func (d *daemon) callDraining(_ context.Context, params json.RawMessage) (any, error) {
	var draining control.Draining
	if err := control.Decode(params, &draining); err != nil {
		return nil, err
	}
	d.ingress.MarkDraining(draining.Names)
	return control.Done{}, nil
}

func (d *daemon) callTrusted(_ context.Context, params json.RawMessage) (any, error) {
	var trusted control.Trusted
	if err := control.Decode(params, &trusted); err != nil {
		return nil, err
	}
	d.ingress.ClearSuspicion(trusted.Names)
	return control.Done{}, nil
}

func (d *daemon) callAsk(_ context.Context, params json.RawMessage) (any, error) {
	var ask control.LeaseRequest
	if err := control.Decode(params, &ask); err != nil {
		return nil, err
	}
	return d.sidecar.GrantLease(ask.Name, ask.Request)
}

func (d *daemon) callRelease(_ context.Context, params json.RawMessage) (any, error) {
	var release control.Release
	if err := control.Decode(params, &release); err != nil {
		return nil, err
	}
	return control.Done{}, d.sidecar.Release(release.Name, release.Release)
}

// callQuarantine records which requests another daemon suspects or has quarantined.
func (d *daemon) callQuarantine(_ context.Context, params json.RawMessage) (any, error) {
	var told control.Quarantine
	if err := control.Decode(params, &told); err != nil {
		return nil, err
	}
	d.quarantines.Merge(told.Records)
	return control.Done{}, nil
}

// callSubrequest records what another host has seen of the calls of this one's service.
func (d *daemon) callSubrequest(_ context.Context, params json.RawMessage) (any, error) {
	var told control.Subrequest
	if err := control.Decode(params, &told); err != nil {
		return nil, err
	}
	if told.Service != d.config.Settings.Service {
		return control.SubrequestResponse{}, nil
	}
	return control.SubrequestResponse{Routes: d.ingress.MergeSubrequestEvidence(told.Seen)}, nil
}
