// Package failures knows what each result code means that an attempt can end with: for the
// request, for the backend server that was asked, and for the caller.
//
// An attempt ends with a code of this daemon, or with the one that another daemon's sidecar
// answered with, which may be any; so each code of package result has a row in one table, and
// a test fails if one has none. What is done about a failure is decided by whoever asks: see
// package attempts for the request, and the ingress for the backend server.
//
// It has no state, and relies on result for the codes and on detect for the kinds of evidence.
//
// # Usage
//
//	meaning := failures.Of(failure.Code)
//	if meaning.Final { ... }
//	switch meaning.Target {
//	case failures.NoSlot: ...
//	}
package failures

import (
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/result"
)

// TargetState is what a failure says of the state of the backend server that was asked.
type TargetState string

// The states of a backend server after a failure.
const (
	// Unchanged: the failure says nothing of it, or only what it shows as evidence.
	Unchanged TargetState = ""
	// NoSlot: it has no free slot now, and was asked not to keep the request waiting.
	NoSlot TargetState = "no-slot"
	// QueueFull: it has neither a slot nor a place in its queue from which the request would
	// come to run in time.
	QueueFull TargetState = "queue-full"
	// Suspected: others are to be asked first for a moment.
	Suspected TargetState = "suspected"
	// Hanging: it seems to hang, and was asked to refuse then.
	Hanging TargetState = "hanging"
	// NoRetryBudget: the services that it calls have no room for the calls of a retry.
	NoRetryBudget TargetState = "no-retries"
	// NotAccepting: it takes no requests now, or none of this daemon.
	NotAccepting TargetState = "no-work"
	// HostUnreachable: no connection to its host could be made.
	HostUnreachable TargetState = "host-unreachable"
	// HostUnresponsive: its host did not answer when it was asked for a reservation.
	HostUnresponsive TargetState = "host-silent"
	// Unreachable: its own daemon could not connect to it.
	Unreachable TargetState = "unreachable"
)

// Meaning is what a failure means.
type Meaning struct {
	// Final: another backend server would not change it.
	Final bool
	// Reached: the request reached a backend server, or may have, also if that did not run it.
	// It is so for each code that does not promise that the request was not run.
	Reached bool
	// Target is what the failure says of the backend server.
	Target TargetState
	// Evidence is what it shows of the backend server's health; empty if it shows nothing, as a
	// full queue or a caller that went away.
	Evidence detect.Outcome
	// NeedsRetryAfter: callers read the code's status as a promise that the request was not run, and
	// it may be of use to send it again later; so the answer says when.
	NeedsRetryAfter bool
}

// Classify returns what a failure of that code means.
func Classify(code result.Code) Meaning { return table[code.Number] }

// Evidence returns what a failure of that code shows of the backend server's health, and
// false if it shows nothing.
func Evidence(code result.Code) (detect.Outcome, bool) {
	outcome := Classify(code).Evidence
	return outcome, outcome != ""
}

// TakesNoWork reports whether the backend server refused since it gets no work now.
func (m Meaning) TakesNoWork() bool { return m.Target == NotAccepting || m.Target == Suspected }

// PassedOver reports whether the refusal only sends the request to the next backend server:
// nothing ran, and it says nothing of the path. Such refusals are counted on the request's next
// log line. Source: on a day of high load there were eight for each request, and a line each
// was three quarters of the log.
func (m Meaning) PassedOver() bool {
	switch m.Target {
	case NoSlot, QueueFull, Suspected, Hanging, NoRetryBudget:
		return true
	case Unchanged, NotAccepting, HostUnreachable, HostUnresponsive, Unreachable:
	}
	return false
}
