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
	DaemonStarted   = Event{101, slog.LevelInfo, "daemon started", "The daemon listens on the addresses given."}
	DaemonStopping  = Event{102, slog.LevelInfo, "daemon stopping", "A planned stop began: no new work is taken, what is in flight is finished."}
	DaemonStopped   = Event{103, slog.LevelInfo, "daemon stopped", "Everything in flight was finished and the daemon has ended."}
	StopCut         = Event{104, slog.LevelWarn, "stop cut requests", "The stop's limit or a second signal ended the daemon with requests in flight."}
	SettingsTaken   = Event{106, slog.LevelInfo, "settings taken", "The settings file changed; what can change without a start is in force, and the line names what cannot."}
	SettingsRefused = Event{107, slog.LevelError, "settings refused", "The settings file changed and is wrong; the settings before stay in force."}
	KeysRefused     = Event{108, slog.LevelError, "key files refused", "A certificate or token file changed and cannot be read; what was read before stays in force."}
	ServeFailed     = Event{105, slog.LevelError, "listener failed", "A listener ended with an error; the daemon stops."}
)

// Events of the declaration in force.
var (
	DeclarationInForce   = Event{201, slog.LevelInfo, "declaration in force", "A newer declaration was put in force here."}
	DeclarationRefused   = Event{202, slog.LevelError, "declaration refused", "The platform holds a declaration that this daemon cannot read; the one before stays in force."}
	PlatformUnreachable  = Event{203, slog.LevelWarn, "platform unreachable", "The platform did not answer; the declaration in force stays and the daemon tries again."}
	PlatformReachable    = Event{204, slog.LevelInfo, "platform reachable", "The platform answers again."}
	DeclarationAccepted  = Event{205, slog.LevelInfo, "declaration accepted", "An operator's change was written to the platform through this daemon."}
	DeclarationFromPeers = Event{206, slog.LevelInfo, "declaration taken from peers", "The platform did not answer and other daemons gave the declaration."}
)

// Events of backend servers.
var (
	ServerAvoided   = Event{301, slog.LevelWarn, "backend server avoided", "This daemon prefers others, from what it sees on the path to the backend server."}
	ServerEjected   = Event{302, slog.LevelWarn, "backend server ejected", "The backend server's own daemon refuses work for it."}
	ServerReturned  = Event{304, slog.LevelInfo, "backend server returned", "The backend server passed its trial and gets work again, at first a growing share."}
	FloorHeld       = Event{305, slog.LevelWarn, "floor held", "A backend server looks sick but stays, because the floor allows no more to be ejected."}
	ServerDraining  = Event{306, slog.LevelInfo, "backend server leaving", "The backend server takes no new work."}
	ServerSuspected = Event{308, slog.LevelInfo, "backend server suspected", "The backend server failed a request; others are asked first until repeatable requests succeed."}
	ServerProbed    = Event{310, slog.LevelInfo, "backend server probed", "A suspected backend server was sent a request that finds out how it does."}
	ServerTrusted   = Event{309, slog.LevelInfo, "backend server trusted again", "Repeatable requests succeeded, so that the backend server is no longer asked last."}
	ServerEnded     = Event{311, slog.LevelWarn, "backend server ended", "A backend server of this host ended while it ran the request: the connection was lost, and its address refuses others. There is a line for each request that it ran."}
	ServerBack      = Event{307, slog.LevelInfo, "backend server no longer leaving", "The backend server takes new work again."}
)

// Events of hosts and of backend servers that register themselves.
var (
	ServersRegistered   = Event{401, slog.LevelInfo, "backend servers registered", "A backend server of this host checked in with news or left; the line says which of them serve now."}
	RegistrationRefused = Event{402, slog.LevelWarn, "check-in refused", "A check-in could not be read, or names a service that is not declared, and changed nothing."}
	HostLearned         = Event{403, slog.LevelInfo, "host learned", "Another daemon or the store told of a host something new."}
	RecordRefused       = Event{404, slog.LevelWarn, "record refused", "A record of a host or of a quarantine in the store could not be read, or stands under another's key, and was passed over."}
	HostUnreachable     = Event{406, slog.LevelWarn, "host away", "A request could not reach another host's daemon; the host is passed over until it answers."}
	HostBack            = Event{407, slog.LevelInfo, "host back", "The other host's daemon answers again, or its time of being passed over is up."}
	HostGone            = Event{408, slog.LevelWarn, "host gone", "A host was silent for long and its record in the store has lapsed; others are told that it is gone."}
	UpdatesDropped      = Event{409, slog.LevelWarn, "news dropped", "So much news of hosts came at once that some was not told on; other daemons ask for it."}
	HostListRefused     = Event{410, slog.LevelWarn, "list of leaving hosts refused", "The platform's list of hosts that are leaving cannot be read; what it said before stays in force."}
	PeerSilent          = Event{405, slog.LevelDebug, "peer silent", "Another daemon did not answer a control call; it learns the news from the next."}
)

// Events of callers' requests.
var (
	RequestFailed      = Event{501, slog.LevelInfo, "request failed", "A caller got a refusal or a failure; the line has its id, the result code and what led to it."}
	AttemptFailed      = Event{502, slog.LevelInfo, "attempt failed", "One sending of a request failed; the line says where, how, whether it is tried elsewhere, and how many backend servers were passed over before, by reason."}
	RequestHedged      = Event{504, slog.LevelInfo, "late request hedged", "A repeatable request takes longer than nearly all of its route do; it is sent to another backend server too, and the first answer is passed on."}
	RouteSubrequest    = Event{505, slog.LevelInfo, "route is called by backend servers", "Requests to the route that begin on this host are calls of its backend servers while they run others; they go before new work and are not refused for coming late. With called=false they are so no longer."}
	RequestQuarantined = Event{506, slog.LevelWarn, "request quarantined", "A request ended each backend server that ran it, and none is sent it any more; the line has its fingerprint, where it goes and whom it ended. tidelift quarantine lists such requests and lifts them."}
	QuarantineEnded    = Event{507, slog.LevelInfo, "quarantine ended", "A request that was quarantined is taken again: a backend server answered it after all, or an operator lifted it."}
	QuarantineTrial    = Event{508, slog.LevelInfo, "quarantined request tried", "A request in quarantine is sent to a backend server once more, by this daemon alone; if that one ends too, only an operator lifts the quarantine."}
	QuarantineUntried  = Event{509, slog.LevelWarn, "quarantined request not tried", "The store did not answer when this daemon asked to be the one that sends a request in quarantine once more; the request is refused."}
	QuarantineDropped  = Event{510, slog.LevelWarn, "quarantine records dropped", "This daemon holds more records of requests than it keeps and dropped the oldest; the line says how many, and how many of them were quarantines. The store keeps its own until a start finds them out of date."}
	RequestRefused     = Event{503, slog.LevelDebug, "work refused", "This daemon refused work for a backend server of its host, for the reason given."}
)

// All returns every event, ordered by number.
func All() []Event {
	return []Event{
		DaemonStarted, DaemonStopping, DaemonStopped, StopCut, ServeFailed, SettingsTaken, SettingsRefused, KeysRefused,
		DeclarationInForce, DeclarationRefused, PlatformUnreachable, PlatformReachable, DeclarationAccepted, DeclarationFromPeers,
		ServerAvoided, ServerEjected, ServerReturned, FloorHeld, ServerDraining, ServerBack, ServerSuspected, ServerTrusted, ServerProbed, ServerEnded,
		RequestFailed, AttemptFailed, RequestRefused, RequestHedged, RouteSubrequest, RequestQuarantined, QuarantineEnded, QuarantineTrial, QuarantineUntried, QuarantineDropped,
		ServersRegistered, RegistrationRefused, HostLearned, RecordRefused, PeerSilent, HostUnreachable, HostBack, HostGone, UpdatesDropped, HostListRefused,
	}
}

// Log logs the event with its number and the given attributes, which are key-value pairs.
func Log(logger *slog.Logger, e Event, args ...any) {
	logger.Log(context.Background(), e.Level, e.Message, append([]any{"event", e.Number}, args...)...)
}
