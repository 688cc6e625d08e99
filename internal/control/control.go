// Package control carries the calls that daemons make to each other beside
// callers' requests: jsonrpc2 over TCP, one connection to each peer.
//
// # Usage
//
//	handlers := control.Handlers{control.MethodLend: lender.HandleLend}
//	cleanUp := control.Serve(control.ServerConfig{Listener: listener, Handle: handlers.Handle})
//	client, cleanUp := control.NewClient(control.ClientConfig{DataCentre: "csepel", Logger: logger})
//	var report sidecar.Report
//	err := client.Call(ctx, "127.0.0.1:7402", control.MethodReport, control.Name{Name: "csepel/lookup-1"}, &report)
//
// A call's failure says nothing about whether the peer acted on it, so every
// method may be called again with the same effect.
//
// The calls and their parameters are in control.go. Serve hands each to the handler of its method
// (handlers.go); a Client makes them, knows where a host takes them, and tells many (tell.go). The package owns
// the connections; it decides nothing, and what a call means stands with its handler.
package control

import (
	"github.com/tideliftd/tidelift/internal/floor"
	"github.com/tideliftd/tidelift/internal/quarantine"
	"github.com/tideliftd/tidelift/internal/quota"
	"github.com/tideliftd/tidelift/internal/route"
	"github.com/tideliftd/tidelift/internal/subrequest"
)

// Method names a call.
type Method string

// The calls.
const (
	// MethodReport asks a sidecar for the state of one of its backend servers.
	MethodReport Method = "sidecar.report"
	// MethodDrain tells a sidecar that one of its backend servers is draining, or no longer.
	MethodDrain Method = "sidecar.drain"
	// MethodDraining tells that backend servers of another host take no more work.
	MethodDraining Method = "ingress.leaving"
	// MethodPing asks for any answer.
	MethodPing Method = "daemon.ping"
	// MethodTrusted tells that backend servers of another host are no longer
	// suspected.
	MethodTrusted Method = "ingress.trusted"
	// MethodSubrequest tells a daemon what was seen of routes that the backend servers of its
	// service may call, and asks which of them it knows to be called.
	MethodSubrequest Method = "ingress.subrequest"
	// MethodHost tells a daemon what the platform's list says of its host.
	MethodHost Method = "sidecar.host"
	// MethodNotice tells that there is a revision; MethodRevision asks which one
	// the peer has, and for its text if it is above the one given.
	MethodNotice   Method = "declaration.notice"
	MethodRevision Method = "declaration.revision"
	// MethodHostUpdates tells of hosts.
	MethodHostUpdates Method = "hosts.told"
	// MethodLend asks for a retry to a service that the other host can spare.
	MethodLend Method = "retries.lend"
	// MethodQuarantine tells of suspected and quarantined requests.
	MethodQuarantine Method = "quarantine.told"
	// MethodReportCounts tells what was counted of customers' requests, and asks for the verdict.
	MethodReportCounts Method = "customers.counted"
	// MethodRequestLease asks a backend server for a lease to keep serving.
	MethodRequestLease Method = "floor.ask"
	// MethodRelease gives such a lease back.
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
	// Service is whose backend servers may call the routes.
	Service string                `json:"service"`
	Seen    []subrequest.Evidence `json:"seen"`
}

// SubrequestResponse answers MethodSubrequest.
type SubrequestResponse struct {
	// Routes are those that the one asked knows to be called.
	Routes []route.Name `json:"routes,omitempty"`
}

// Trusted is the parameter of MethodTrusted.
type Trusted struct {
	Names []string `json:"names"`
}

// Host is the parameter of MethodHost.
type Host struct {
	Draining bool `json:"leaving"`
}

// Notice is the parameter of MethodNotice.
type Notice struct {
	// Host has the revision.
	Host     string `json:"host"`
	Revision int64  `json:"revision"`
}

// RevisionQuery is the parameter of MethodRevision.
type RevisionQuery struct {
	Revision int64 `json:"revision"`
	// Hosts is a hash of all that the asking daemon knows of hosts; zero if it
	// does not ask for them.
	Hosts uint64 `json:"hosts,omitempty"`
	// Quarantines is a hash of all that it knows of quarantines of requests.
	Quarantines uint64 `json:"quarantines,omitempty"`
}

// HostUpdates is the parameter of MethodTold.
type HostUpdates struct {
	// Host is who tells.
	Host  string `json:"host"`
	Hosts Hosts  `json:"hosts"`
	// Digest is of all that it knows, by which it asks for the rest; it may be
	// empty.
	Digest []byte `json:"digest,omitempty"`
}

// HostUpdatesResponse answers MethodTold with what the teller does not know.
type HostUpdatesResponse struct {
	Hosts Hosts `json:"hosts,omitempty"`
}

// RevisionResponse answers MethodRevision.
type RevisionResponse struct {
	// Revision is what the peer has in force, with its text only if that is
	// above what was asked.
	Revision Revision `json:"revision"`
	// SilentMs is how long ago the peer knew the platform to answer.
	SilentMs int64 `json:"silent_ms"`
	// Digest is of all that the peer knows of hosts; it is left out if the asking
	// daemon knows the same.
	Digest []byte `json:"digest,omitempty"`
	// Quarantines are those that the peer knows; they are left out if the asking daemon knows the same.
	Quarantines []quarantine.Record `json:"quarantines,omitempty"`
}

// Quarantine is the parameter of MethodQuarantine.
type Quarantine struct {
	Records []quarantine.Record `json:"records"`
}

// Lend is the parameter of MethodLend.
type Lend struct {
	Service string `json:"service"`
}

// LendResponse answers it.
type LendResponse struct {
	// Granted says that the one who asked may make a retry at once, which counts at the lender.
	Granted bool `json:"granted"`
}

// CountReport is the parameter of MethodCounted.
type CountReport struct {
	Report quota.Report `json:"report"`
	// Fleet says that it is a data centre's, for the ledger, not a daemon's for its
	// collector.
	Fleet bool `json:"fleet,omitempty"`
	// Urgent says that the daemon refuses requests until it is answered.
	Urgent bool `json:"urgent,omitempty"`
}

// LeaseRequest is the parameter of MethodAsk.
type LeaseRequest struct {
	Name    string        `json:"name"`
	Request floor.Request `json:"request"`
}

// Release is the parameter of MethodRelease.
type Release struct {
	Name    string        `json:"name"`
	Release floor.Release `json:"release"`
}
