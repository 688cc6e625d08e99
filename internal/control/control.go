// Package control implements the control calls between daemons, which are separate
// from callers' requests: jsonrpc2 over TCP, with one connection per peer.
//
// # Usage
//
//	handlers := control.Handlers{control.MethodLend: lender.HandleLend}
//	cleanUp := control.Serve(control.ServerConfig{Listener: listener, Handle: handlers.Handle})
//	client, cleanUp := control.NewClient(control.ClientConfig{DataCentre: "csepel", Logger: logger})
//	var report sidecar.Report
//	err := client.Call(ctx, "127.0.0.1:7402", control.MethodReport, control.Name{Name: "csepel/lookup-1"}, &report)
//
// A failed call does not show whether the peer acted on it, so every method is
// idempotent.
//
// control.go defines the methods and their parameters. Serve dispatches each call to the handler of its method
// (handlers.go). A Client makes calls, resolves the control addresses of hosts and notifies several hosts (tell.go).
// The package owns the connections; the semantics of a call are defined by its handler.
package control

import (
	"github.com/tideliftd/tidelift/internal/evacuation"
	"github.com/tideliftd/tidelift/internal/floor"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/quota"
	"github.com/tideliftd/tidelift/internal/route"
	"github.com/tideliftd/tidelift/internal/subrequest"
)

// Method is the name of a control call.
type Method string

// The control calls.
const (
	// MethodReport requests the state of one of a sidecar's backend servers.
	MethodReport Method = "sidecar.report"
	// MethodDrain notifies a sidecar that one of its backend servers is draining, or no longer.
	MethodDrain Method = "sidecar.drain"
	// MethodDraining notifies a daemon that backend servers of another host accept no new work.
	MethodDraining Method = "ingress.leaving"
	// MethodPing checks that a daemon responds.
	MethodPing Method = "daemon.ping"
	// MethodSuspicionCleared notifies a daemon that backend servers of another host are no
	// longer suspected.
	MethodSuspicionCleared Method = "ingress.trusted"
	// MethodSubrequest sends a daemon the evidence for routes that the backend servers of its
	// service may call, and requests the routes that it knows to be called.
	MethodSubrequest Method = "ingress.subrequest"
	// MethodHost notifies a daemon of the state of its host in the platform's list.
	MethodHost Method = "sidecar.host"
	// MethodNotice announces a revision. MethodRevision requests the peer's
	// revision in force, with its text if it is newer than the given one.
	MethodNotice   Method = "declaration.notice"
	MethodRevision Method = "declaration.revision"
	// MethodHostUpdates sends updates of host records.
	MethodHostUpdates Method = "hosts.told"
	// MethodLend requests a retry to a service from another host's surplus.
	MethodLend Method = "retries.lend"
	// MethodQuarantine sends records of suspected and quarantined requests.
	MethodQuarantine Method = "quarantine.told"
	// MethodEvacuations sends an evacuation.View of the evacuated data centres.
	MethodEvacuations Method = "evacuations.told"
	// MethodReportCounts reports counts of customers' requests and requests the verdict.
	MethodReportCounts Method = "customers.counted"
	// MethodRequestLease requests a lease to keep serving from a backend server.
	MethodRequestLease Method = "floor.ask"
	// MethodRelease returns such a lease.
	MethodRelease Method = "floor.release"
)

// Name is the parameter of a call about one backend server.
type Name struct {
	Name string `json:"name"`
}

// Drain is the parameter of MethodDrain.
type Drain struct {
	Name     string `json:"name"`
	Draining bool   `json:"leaving"`
}

// Draining is the parameter of MethodDraining.
type Draining struct {
	Names []string `json:"names"`
}

// Subrequest is the parameter of MethodSubrequest.
type Subrequest struct {
	// Service is the service whose backend servers may call the routes.
	Service string                `json:"service"`
	Seen    []subrequest.Evidence `json:"seen"`
}

// SubrequestResponse is the response to MethodSubrequest.
type SubrequestResponse struct {
	// Routes are the routes that the receiver knows to be called.
	Routes []route.Name `json:"routes,omitempty"`
}

// SuspicionCleared is the parameter of MethodSuspicionCleared.
type SuspicionCleared struct {
	Names []string `json:"names"`
}

// Host is the parameter of MethodHost.
type Host struct {
	Draining bool `json:"leaving"`
}

// Notice is the parameter of MethodNotice.
type Notice struct {
	// Host is the host that has the revision.
	Host     string `json:"host"`
	Revision int64  `json:"revision"`
	// SilentMs is the time since the host last knew the platform to respond, in milliseconds; it is nil if the
	// notice announces only the revision.
	SilentMs *int64 `json:"silent_ms,omitempty"`
}

// RevisionQuery is the parameter of MethodRevision.
type RevisionQuery struct {
	Revision int64 `json:"revision"`
	// Hosts is a hash of all host records of the caller; zero if it does not
	// request them.
	Hosts uint64 `json:"hosts,omitempty"`
	// Quarantines is a hash of all quarantine records of the caller.
	Quarantines uint64 `json:"quarantines,omitempty"`
	// Evacuations is a hash of the caller's states of evacuated data centres.
	Evacuations uint64 `json:"evacuations,omitempty"`
}

// HostUpdates is the parameter of MethodHostUpdates.
type HostUpdates struct {
	// Host is the sending host.
	Host  string `json:"host"`
	Hosts Hosts  `json:"hosts"`
	// Digest summarizes all host records of the sender, to request those that it
	// lacks; it may be empty.
	Digest []byte `json:"digest,omitempty"`
}

// HostUpdatesResponse is the response to MethodHostUpdates, with the records that the sender lacks.
type HostUpdatesResponse struct {
	Hosts Hosts `json:"hosts,omitempty"`
}

// RevisionResponse is the response to MethodRevision.
type RevisionResponse struct {
	// Revision is the peer's revision in force, with its text only if it is newer
	// than the requested one.
	Revision Revision `json:"revision"`
	// SilentMs is the time since the peer last knew the platform to respond, in milliseconds.
	SilentMs int64 `json:"silent_ms"`
	// Digest summarizes all host records of the peer; it is empty if the caller
	// has the same records.
	Digest []byte `json:"digest,omitempty"`
	// Quarantines are the peer's quarantine records; they are empty if the caller has the same records.
	Quarantines []quarantine.Record `json:"quarantines,omitempty"`
	// Evacuations is the peer's view of the evacuated data centres; it is nil if the caller has the
	// same states.
	Evacuations *evacuation.View `json:"evacuations,omitempty"`
}

// Quarantine is the parameter of MethodQuarantine.
type Quarantine struct {
	Records []quarantine.Record `json:"records"`
}

// Lend is the parameter of MethodLend.
type Lend struct {
	Service string `json:"service"`
}

// LendResponse is the response to MethodLend.
type LendResponse struct {
	// Granted means that the caller may retry immediately. The retry counts against the lender's budget.
	Granted bool `json:"granted"`
}

// CountReport is the parameter of MethodReportCounts.
type CountReport struct {
	Report quota.Report `json:"report"`
	// Fleet marks the report of a data centre to the ledger, as opposed to that of a
	// daemon to its collector.
	Fleet bool `json:"fleet,omitempty"`
	// Urgent means that the daemon refuses requests until it receives a response.
	Urgent bool `json:"urgent,omitempty"`
}

// LeaseRequest is the parameter of MethodRequestLease.
type LeaseRequest struct {
	Name    string        `json:"name"`
	Request floor.Request `json:"request"`
}

// Release is the parameter of MethodRelease.
type Release struct {
	Name    string        `json:"name"`
	Release floor.Release `json:"release"`
}
