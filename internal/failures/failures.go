// Package failures classifies the result codes that an attempt can end with: what each one means for
// the request, for its backend server and for the caller.
//
// An attempt ends with a code of this daemon or with any code that the sidecar of another daemon
// answered with. Each code of package result therefore has a row in one table, and a test fails if
// one has none. Callers decide what to do about a failure: package attempts for the request, and
// the ingress for the backend server.
//
// It has no state, and relies on package result for the codes and on package detect for the kinds of
// evidence.
//
// # Usage
//
//	classification := failures.Classify(failure.Code)
//	if classification.Final { ... }
//	switch classification.Target {
//	case failures.NoSlot: ...
//	}
package failures

import (
	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/result"
)

// TargetState is the state of a backend server that a failure indicates.
type TargetState string

// The states of a backend server after a failure.
const (
	// Unchanged: the failure indicates nothing, except possibly evidence.
	Unchanged TargetState = ""
	// NoSlot: it has no free slot now, and the request was not to wait.
	NoSlot TargetState = "no-slot"
	// QueueFull: it has no free slot and no place in its queue from which the request would run in
	// time, or its daemon has no memory for the request's body. The search for another one ends after
	// a few, since callers' uploads are spread over all hosts.
	QueueFull TargetState = "queue-full"
	// Limited: it names a limit on its requests, which is used up for the moment.
	Limited TargetState = "limited"
	// Suspected: its sidecar suspects it, so others are preferred for a short time.
	Suspected TargetState = "suspected"
	// Hanging: it appears to hang, and the request was to be refused in that case.
	Hanging TargetState = "hanging"
	// NoRetryBudget: the retry budgets of the services that it calls have no room for the calls of
	// a retry.
	NoRetryBudget TargetState = "no-retries"
	// NotAccepting: it accepts no requests now, or none of this daemon.
	NotAccepting TargetState = "no-work"
	// HostUnreachable: the connection to its host failed.
	HostUnreachable TargetState = "host-unreachable"
	// HostUnresponsive: its host did not answer a request for a reservation.
	HostUnresponsive TargetState = "host-silent"
	// Unreachable: its own daemon could not connect to it.
	Unreachable TargetState = "unreachable"
)

// Classification describes what a failure means.
type Classification struct {
	// Final is set if another backend server would not change the result.
	Final bool
	// Reached is set if the request reached a backend server, or may have, even if that did not run
	// it. It is set for each code that does not promise that the request was not run.
	Reached bool
	// Target is the state of the backend server that the failure indicates.
	Target TargetState
	// Evidence is what the failure shows of the backend server's health; empty if nothing, as for a
	// full queue or a caller that disconnected.
	Evidence detect.Outcome
	// NeedsRetryAfter is set if callers read the code's status as a promise that the request was
	// not run, and sending it again later may help; the answer then has a Retry-After.
	NeedsRetryAfter bool
}

// Classify returns the classification of a failure with that code.
func Classify(code result.Code) Classification { return table[code.Number] }

// Evidence returns what a failure with that code shows of the backend server's health, and false if
// it shows nothing.
func Evidence(code result.Code) (detect.Outcome, bool) {
	outcome := Classify(code).Evidence
	return outcome, outcome != ""
}

// Unavailable reports whether the backend server refused because it accepts no requests now.
func (m Classification) Unavailable() bool { return m.Target == NotAccepting || m.Target == Suspected }

// PassedOver reports whether the refusal only sends the request to the next backend server: nothing
// ran, and the refusal shows nothing about the path. Such refusals are counted on the request's
// next log line instead of being logged one by one: under high load there are eight per request,
// and a line for each would be three quarters of the log.
func (m Classification) PassedOver() bool {
	switch m.Target {
	case NoSlot, QueueFull, Limited, Suspected, Hanging, NoRetryBudget:
		return true
	case Unchanged, NotAccepting, HostUnreachable, HostUnresponsive, Unreachable:
	}
	return false
}
