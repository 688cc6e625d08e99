// Package event defines the numbered events that the daemon logs.
//
// # Usage
//
//	event.Log(logger, event.DaemonStarted, "callers", address)
//
// Each line carries event=<number> beside the message, so that alerts can match the number even if
// the message changes. The package owns the numbers, levels and messages; callers choose the
// attributes. docs/EVENTS.md is generated from All, and a test checks that they agree. Messages and
// attribute names keep the terms of the log format; docs/GLOSSARY.md maps them to those of the code.
package event

import (
	"context"
	"log/slog"
)

// Event is a numbered log event.
type Event struct {
	// Number never changes.
	Number int
	// Level is the log level.
	Level slog.Level
	// Message is the log line's message.
	Message string
	// Meaning states what operators may conclude from the event and do about it.
	Meaning string
}

// Events of a daemon's life cycle.
var (
	DaemonStarted   = Event{101, slog.LevelInfo, "daemon started", "The daemon listens on the given addresses."}
	DaemonStopping  = Event{102, slog.LevelInfo, "daemon stopping", "A planned stop began: the daemon accepts no new work and completes what is in flight."}
	DaemonStopped   = Event{103, slog.LevelInfo, "daemon stopped", "Everything in flight was completed and the daemon has ended."}
	StopCut         = Event{104, slog.LevelWarn, "stop cut requests", "The stop limit or a second signal ended the daemon while requests were in flight."}
	SettingsTaken   = Event{106, slog.LevelInfo, "settings taken", "The settings file changed. Settings that can change without a restart are in force; the line names those that cannot."}
	SettingsRefused = Event{107, slog.LevelError, "settings refused", "The settings file changed and is invalid; the previous settings stay in force."}
	KeysRefused     = Event{108, slog.LevelError, "key files refused", "A certificate or token file changed and cannot be read; its previous content stays in force."}
	StopRepeated    = Event{109, slog.LevelInfo, "stop requested again", "A signal to stop arrived during a planned stop, which goes on unchanged and ends at its first limit."}
	PeerCut         = Event{110, slog.LevelWarn, "connection cut", "A connection was closed before its peer had received everything that was sent. The line says how many bytes."}
	ServeFailed     = Event{105, slog.LevelError, "listener failed", "A listener failed; the daemon stops."}
)

// Events of the declaration in force.
var (
	DeclarationInForce   = Event{201, slog.LevelInfo, "declaration in force", "A newer declaration came into force on this daemon."}
	DeclarationRefused   = Event{202, slog.LevelError, "declaration refused", "The platform holds a declaration that this daemon cannot read; the previous declaration stays in force."}
	PlatformUnreachable  = Event{203, slog.LevelWarn, "platform unreachable", "The platform did not answer; the declaration in force stays in force and the daemon tries again."}
	PlatformReachable    = Event{204, slog.LevelInfo, "platform reachable", "The platform answers again."}
	DeclarationAccepted  = Event{205, slog.LevelInfo, "declaration accepted", "This daemon wrote an operator's change to the platform."}
	DeclarationFromPeers = Event{206, slog.LevelInfo, "declaration taken from peers", "The platform did not answer, and other daemons supplied the declaration."}
	DataCentreEvacuated  = Event{207, slog.LevelWarn, "data centre evacuated", "An operator evacuated a data centre: its backend servers complete what they run and receive no new requests from this daemon."}
	StoreWatched         = Event{209, slog.LevelInfo, "store watched", "This daemon began to watch the store for declarations: permanent=true if it is one of the few that always do, otherwise because no other daemon has reported a recent answer of the store. The line says how old the last known answer is; -1 means that none is known."}
	StoreUnwatched       = Event{210, slog.LevelInfo, "store no longer watched", "This daemon leaves the watching of the store to others again."}
	DataCentreInUse      = Event{208, slog.LevelInfo, "data centre in use again", "An operator ended the evacuation of a data centre; its backend servers receive requests again."}
)

// Events of backend servers.
var (
	ServerAvoided   = Event{301, slog.LevelWarn, "backend server avoided", "This daemon prefers other backend servers because of what it observes on the path to this one."}
	ServerEjected   = Event{302, slog.LevelWarn, "backend server ejected", "The daemon of the backend server's host refuses work for it."}
	ServerReturned  = Event{304, slog.LevelInfo, "backend server returned", "The backend server receives work again, with a share that grows gradually. The line says why: it passed its probation, the floor requires it, or it was merely slow and the others refuse requests for want of slots."}
	FloorHeld       = Event{305, slog.LevelWarn, "floor held", "A backend server appears unhealthy but stays in service, because the floor permits no further ejection."}
	ServerDraining  = Event{306, slog.LevelInfo, "backend server leaving", "The backend server is draining and accepts no new work."}
	ServerSuspected = Event{308, slog.LevelInfo, "backend server suspected", "The backend server failed a request; other backend servers are preferred until repeatable requests to it succeed."}
	ServerProbed    = Event{310, slog.LevelInfo, "backend server probed", "A suspected backend server was sent a request that shows whether it has recovered."}
	ServerTrusted   = Event{309, slog.LevelInfo, "backend server trusted again", "Repeatable requests succeeded, so the backend server is no longer chosen last."}
	ServerEnded     = Event{311, slog.LevelWarn, "backend server ended", "A backend server of this host ended while it ran the request: the connection was lost, and its address refuses new connections. One line is logged for each request that it was running."}
	ServerLimited   = Event{312, slog.LevelInfo, "backend server limited", "The backend server names in its answers how many requests a second it takes; it is sent no more, and the others are preferred meanwhile."}
	LimitEnded      = Event{313, slog.LevelInfo, "backend server no longer limited", "The backend server no longer names a limit on its requests."}
	LimitRefused    = Event{314, slog.LevelWarn, "limit refused", "The backend server names a limit that cannot be read; the limit that was in force stays in force. Further ones are only counted."}
	ServerBack      = Event{307, slog.LevelInfo, "backend server no longer leaving", "The backend server accepts new work again."}
)

// Events of hosts and of backend servers that register themselves.
var (
	ServersRegistered   = Event{401, slog.LevelInfo, "backend servers registered", "A backend server of this host sent a check-in with changes or left; the line lists the backend servers that serve now."}
	RegistrationRefused = Event{402, slog.LevelWarn, "check-in refused", "A check-in cannot be read, names a service that is not declared, or must come from another writer; it changed nothing."}
	HostLearned         = Event{403, slog.LevelInfo, "host learned", "Another daemon or the store reported a change of a host."}
	MoreHostsLearned    = Event{411, slog.LevelInfo, "more hosts learned", "Many hosts changed at the same time; the line says how many are not logged one by one."}
	LeavingUnsaved      = Event{412, slog.LevelWarn, "leaving not saved", "The store did not take the list of backend servers that have left in time, before a leaving was confirmed. The other daemons have it; if all end now, a late registration may bring one back."}
	RecordRefused       = Event{404, slog.LevelWarn, "record refused", "A record of a host or of a quarantine in the store cannot be read, or is stored under the key of another record, and was ignored."}
	HostUnreachable     = Event{406, slog.LevelWarn, "host away", "A request could not reach another host's daemon; the host is skipped until its daemon answers."}
	HostBack            = Event{407, slog.LevelInfo, "host back", "The other host's daemon answers again, or the time limit for skipping the host has passed."}
	HostGone            = Event{408, slog.LevelWarn, "host gone", "A host did not answer for a long time and its record in the store has expired; other daemons are notified that it is gone."}
	UpdatesDropped      = Event{409, slog.LevelWarn, "news dropped", "Too many updates of hosts arrived at the same time, and some were not passed on; other daemons request them."}
	HostListRefused     = Event{410, slog.LevelWarn, "list of leaving hosts refused", "The platform's list of draining hosts cannot be read; its previous content stays in force."}
	PeerSilent          = Event{405, slog.LevelDebug, "peer silent", "Another daemon did not answer a control call; it receives the updates with the next call."}
)

// Events of callers' requests.
var (
	RequestFailed      = Event{501, slog.LevelInfo, "request failed", "A caller received a refusal or a failure; the line has the request's ID, the result code and the cause."}
	AttemptFailed      = Event{502, slog.LevelInfo, "attempt failed", "An attempt to run a request failed; the line says where, how, whether the request is tried elsewhere, and how many backend servers were skipped before it, by reason."}
	RequestHedged      = Event{504, slog.LevelInfo, "late request hedged", "A repeatable request takes longer than nearly all requests of its route; it is also sent to another backend server, and the first answer is passed on."}
	RouteSubrequest    = Event{505, slog.LevelInfo, "route is called by backend servers", "Requests to the route that begin on this host are calls that its backend servers make while they run other requests. They take precedence over new work and are not refused for being late. With called=false, this no longer applies."}
	RequestQuarantined = Event{506, slog.LevelWarn, "request quarantined", "A request ended each backend server that ran it and is no longer sent to any. The line has its fingerprint, its destination and the backend servers that it ended. `tidelift quarantine` lists such requests, and `tidelift quarantine lift` lifts a quarantine."}
	QuarantineEnded    = Event{507, slog.LevelInfo, "quarantine ended", "A quarantined request is accepted again: a backend server answered it after all, or an operator lifted the quarantine."}
	QuarantineTrial    = Event{508, slog.LevelInfo, "quarantined request tried", "A quarantined request is sent to a backend server once more, by this daemon alone. If that backend server ends too, only an operator can lift the quarantine."}
	QuarantineUntried  = Event{509, slog.LevelWarn, "quarantined request not tried", "The store did not answer when this daemon claimed the right to send a quarantined request once more; the request is refused."}
	QuarantineDropped  = Event{510, slog.LevelWarn, "quarantine records dropped", "This daemon holds more records of requests than its limit and dropped the oldest; the line says how many, and how many of them were quarantines. Their records in the store remain until a daemon finds them expired when it starts."}
	RequestRefused     = Event{503, slog.LevelDebug, "work refused", "This daemon refused work for a backend server of its host, for the reason given."}
)

// All returns every event, ordered by number.
func All() []Event {
	return []Event{
		DaemonStarted, DaemonStopping, DaemonStopped, StopCut, ServeFailed, SettingsTaken, SettingsRefused, KeysRefused, StopRepeated, PeerCut,
		DeclarationInForce, DeclarationRefused, PlatformUnreachable, PlatformReachable, DeclarationAccepted, DeclarationFromPeers, DataCentreEvacuated, DataCentreInUse, StoreWatched, StoreUnwatched,
		ServerAvoided, ServerEjected, ServerReturned, FloorHeld, ServerDraining, ServerBack, ServerSuspected, ServerTrusted, ServerProbed, ServerEnded, ServerLimited, LimitEnded, LimitRefused,
		RequestFailed, AttemptFailed, RequestRefused, RequestHedged, RouteSubrequest, RequestQuarantined, QuarantineEnded, QuarantineTrial, QuarantineUntried, QuarantineDropped,
		ServersRegistered, RegistrationRefused, HostLearned, RecordRefused, PeerSilent, HostUnreachable, HostBack, HostGone, UpdatesDropped, HostListRefused, MoreHostsLearned, LeavingUnsaved,
	}
}

// Log logs the event with its number and the given attributes, which are key-value pairs.
func Log(logger *slog.Logger, e Event, args ...any) {
	logger.Log(context.Background(), e.Level, e.Message, append([]any{"event", e.Number}, args...)...)
}
