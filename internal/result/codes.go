package result

import "net/http"

// StatusCallerGone is the status logged for a request whose caller disconnected; no
// caller receives it.
const StatusCallerGone = 499

// Codes of invalid requests.
var (
	MalformedRequest = Code{1001, "malformed-request", http.StatusBadRequest, RanNo, "The request cannot be understood."}
	NoRoute          = Code{1002, "no-route", http.StatusNotFound, RanNo, "No declared route leads from this host name and path to a service."}
	AmbiguousFraming = Code{1003, "ambiguous-framing", http.StatusBadRequest, RanNo, "The request carries both Content-Length and Transfer-Encoding."}
	HeadersTooLarge  = Code{1004, "headers-too-large", http.StatusRequestHeaderFieldsTooLarge, RanNo, "The request's headers are larger than the daemon's limit."}
	BodyTooLarge     = Code{1005, "body-too-large", http.StatusRequestEntityTooLarge, RanNo, "The request's declared length is more than the route's limit."}
	BadDeadline      = Code{1006, "bad-deadline", http.StatusBadRequest, RanNo, "The deadline header is not a whole number of milliseconds above zero."}
	UpgradeRefused   = Code{1007, "upgrade-refused", http.StatusNotImplemented, RanNo, "The request asks for a protocol upgrade or a tunnel, which the daemon does not carry."}
	ProtocolVersion  = Code{1008, "protocol-version", http.StatusHTTPVersionNotSupported, RanNo, "The request is HTTP/1.0, in which a cut answer cannot be told from a whole one."}
	KeyMissing       = Code{1009, "key-missing", http.StatusUnauthorized, RanNo, "The route is not public and the request carries no key."}
	KeyUnknown       = Code{1010, "key-unknown", http.StatusUnauthorized, RanNo, "The key belongs to no customer of the declaration in force."}
)

// Codes of requests that were refused and not run.
var (
	NotReady              = Code{2001, "not-ready", http.StatusServiceUnavailable, RanNo, "The daemon has no declaration in force yet."}
	Stopping              = Code{2002, "stopping", http.StatusServiceUnavailable, RanNo, "The daemon is stopping and takes no new work."}
	NoneAble              = Code{2003, "none-able", http.StatusServiceUnavailable, RanNo, "Every backend server of the service refused or could not be reached."}
	QueueFull             = Code{2004, "queue-full", http.StatusServiceUnavailable, RanNo, "The backend server's slots and queue are full."}
	QueueTooSlow          = Code{2005, "queue-too-slow", http.StatusServiceUnavailable, RanNo, "The wait for a slot would be longer than the time left."}
	CustomerShare         = Code{2006, "customer-share", http.StatusTooManyRequests, RanNo, "The customer already has its share of a full queue."}
	Draining              = Code{2007, "leaving", http.StatusServiceUnavailable, RanNo, "The backend server is leaving and takes no new work."}
	Ejected               = Code{2008, "ejected", http.StatusServiceUnavailable, RanNo, "The backend server is ejected."}
	PeerUnreachable       = Code{2009, "peer-unreachable", http.StatusServiceUnavailable, RanNo, "No connection to the backend server's daemon could be made."}
	ServerUnreachable     = Code{2010, "server-unreachable", http.StatusServiceUnavailable, RanNo, "No connection to the backend server could be made."}
	ReservationExpired    = Code{2011, "reservation-expired", http.StatusServiceUnavailable, RanNo, "The request arrived after the reservation to run it had expired."}
	DeadlineBeforeRun     = Code{2012, "deadline-before-run", http.StatusGatewayTimeout, RanNo, "The deadline passed before the request was sent to a backend server."}
	UnknownServer         = Code{2013, "unknown-server", http.StatusServiceUnavailable, RanNo, "The daemon does not know the backend server; the declarations in force differ for the moment."}
	CancelledBefore       = Code{2014, "cancelled-before-run", StatusCallerGone, RanNo, "The caller went away before the request was sent to a backend server."}
	PlaceLost             = Code{2016, "place-lost", http.StatusTooManyRequests, RanNo, "The customer's newest place in a full queue went to a customer with fewer."}
	NotTaken              = Code{2017, "not-taken", http.StatusServiceUnavailable, RanNo, "The backend server said that it did not run the request."}
	Misdirected           = Code{2018, "misdirected", http.StatusServiceUnavailable, RanNo, "Another backend server has the address; it did not run the request."}
	Suspected             = Code{2019, "suspected", http.StatusServiceUnavailable, RanNo, "The backend server failed a moment ago; others are asked first."}
	Busy                  = Code{2020, "busy", http.StatusServiceUnavailable, RanNo, "The backend server has no free slot at this moment; the request asked not to wait for one yet."}
	Unproven              = Code{2021, "unproven", http.StatusServiceUnavailable, RanNo, "The backend server seems to hang, since a request takes longer there than nearly all of its route do and no later one has been answered well, or no request has shown recently that it runs any; others are asked first."}
	MovedOn               = Code{2022, "moved-on", http.StatusServiceUnavailable, RanNo, "The request waited long for a slot there, and a hedge at another backend server was answered first."}
	RetryLimit            = Code{2023, "retry-limit", http.StatusServiceUnavailable, RanNo, "The backend server calls a service whose retry limit leaves no room for that; first sendings are taken."}
	CustomerLimit         = Code{2024, "customer-limit", http.StatusTooManyRequests, RanNo, "The customer asks more of the whole fleet than its limit allows."}
	Quarantined           = Code{2025, "quarantined", http.StatusServiceUnavailable, RanNo, "The same request ended each backend server that ran it; none is sent it until it is known to be harmless, so that it is of no use to send it again."}
	ConnectionUnused      = Code{2026, "connection-unused", http.StatusRequestTimeout, RanNo, "The daemon closed the connection on which it had not read a whole request; a request that was sent meanwhile is not read."}
	Evacuated             = Code{2027, "evacuated", http.StatusServiceUnavailable, RanNo, "An operator evacuated the backend server's data centre; it takes no new work."}
	Limited               = Code{2028, "limited", http.StatusServiceUnavailable, RanNo, "The backend server names a limit on its requests, which is used up for the moment."}
	BodyMemory            = Code{2029, "body-memory", http.StatusServiceUnavailable, RanNo, "The daemon has no memory left for the request's body, or the customer has its share of it; requests without a body are taken."}
	Crowded               = Code{2030, "crowded", http.StatusServiceUnavailable, RanNo, "The daemon has no room left for the connection or the request: all clients together take the memory or the connections that they may have."}
	ReservationUnanswered = Code{2015, "reservation-unanswered", http.StatusServiceUnavailable, RanNo, "The backend server's daemon did not grant a reservation in time; the request was never sent."}
)

// Codes of requests whose outcome is unknown.
var (
	DeadlineWhileRunning = Code{3001, "deadline-while-running", http.StatusGatewayTimeout, RanUnknown, "The deadline passed after the request had been sent."}
	ConnectionLost       = Code{3002, "connection-lost", http.StatusBadGateway, RanUnknown, "The connection was lost after the request had been sent."}
	UnframedAnswer       = Code{3003, "unframed-answer", http.StatusBadGateway, RanUnknown, "The answer has neither a length nor chunks, so that a cut one would look whole."}
	CallerGone           = Code{3004, "caller-gone", StatusCallerGone, RanUnknown, "The caller went away after the request had been sent."}
	AttemptOverdue       = Code{3006, "attempt-overdue", http.StatusGatewayTimeout, RanUnknown, "The attempt took longer than nearly all of its route do, and a hedge at another backend server was answered first."}
	SpoiltAnswer         = Code{3007, "spoilt-answer", http.StatusBadGateway, RanUnknown, "The answer is not the backend server's own: its id, digest or coding is wrong."}
	ServerFailed         = Code{3008, "server-failed", http.StatusBadGateway, RanUnknown, "The backend server answered with a status that promises that the request was not run, without saying so itself."}
	ServerError          = Code{3009, "server-error", http.StatusBadGateway, RanUnknown, "The backend server answered that it failed; a repeatable request is tried elsewhere, and the answer is passed on if that is no better."}
	StoppedWhileRunning  = Code{3010, "stopped-while-running", http.StatusGatewayTimeout, RanUnknown, "The daemon had to stop before the answer came to a request that had been sent."}
	AnswerCut            = Code{3005, "answer-cut", http.StatusBadGateway, RanUnknown, "The answer broke off; the caller's connection was closed so that it does not look whole."}
)

// Codes of operators' calls that were refused.
var (
	BadDeclaration    = Code{4001, "bad-declaration", http.StatusUnprocessableEntity, RanNo, "The declaration is wrong; nothing was changed."}
	RevisionChanged   = Code{4002, "revision-changed", http.StatusConflict, RanNo, "Another revision is in force than the one the change was based on; nothing was changed."}
	PlatformDown      = Code{4003, "platform-down", http.StatusServiceUnavailable, RanNo, "The platform's key-value service did not answer; nothing was changed."}
	NotDeclared       = Code{4004, "not-declared", http.StatusNotFound, RanNo, "Nothing of that name is declared."}
	ChangeUnknown     = Code{4005, "change-unknown", http.StatusGatewayTimeout, RanUnknown, "The platform's answer to the write was lost; apply the same change id again to learn what became of it."}
	ValueTooLarge     = Code{4006, "value-too-large", http.StatusRequestEntityTooLarge, RanNo, "The declaration is larger than the platform holds; nothing was changed."}
	MalformedCall     = Code{4007, "malformed-call", http.StatusBadRequest, RanNo, "The operator's call cannot be understood."}
	ChangeIDReused    = Code{4009, "change-id-reused", http.StatusConflict, RanNo, "The change id already names a change with other content; nothing was changed."}
	TokenRefused      = Code{4010, "token-refused", http.StatusUnauthorized, RanNo, "The token is missing or not known."}
	RoleRefused       = Code{4011, "role-refused", http.StatusForbidden, RanNo, "The token may read and not change."}
	DeclaredElsewhere = Code{4012, "declared-elsewhere", http.StatusConflict, RanNo, "Another system declares this in the platform's store; nothing was changed."}
	NoneLeft          = Code{4013, "none-left", http.StatusConflict, RanNo, "The change would leave a service without a backend server; nothing was changed."}
	PeerSilent        = Code{4008, "peer-silent", http.StatusServiceUnavailable, RanUnknown, "The daemon that has to act did not answer the control call."}
)

// All returns every code, ordered by the first digit.
func All() []Code {
	return []Code{
		MalformedRequest, NoRoute, AmbiguousFraming, HeadersTooLarge, BodyTooLarge, BadDeadline, UpgradeRefused, ProtocolVersion, KeyMissing, KeyUnknown,
		NotReady, Stopping, NoneAble, QueueFull, QueueTooSlow, CustomerShare, Draining, Ejected, PeerUnreachable, ServerUnreachable,
		ReservationExpired, DeadlineBeforeRun, UnknownServer, CancelledBefore, ReservationUnanswered, PlaceLost, NotTaken, Misdirected, Suspected, Busy, Unproven, MovedOn, RetryLimit, CustomerLimit, Quarantined, ConnectionUnused, Evacuated, Limited, BodyMemory, Crowded,
		DeadlineWhileRunning, ConnectionLost, UnframedAnswer, CallerGone, AnswerCut, AttemptOverdue, StoppedWhileRunning, SpoiltAnswer, ServerFailed, ServerError,
		BadDeclaration, RevisionChanged, PlatformDown, NotDeclared, ChangeUnknown, ValueTooLarge, MalformedCall, PeerSilent, ChangeIDReused, TokenRefused, RoleRefused, DeclaredElsewhere, NoneLeft,
	}
}
