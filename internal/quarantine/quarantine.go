// Package quarantine detects requests that crash the backend servers that run them, and quarantines them so
// that no backend server receives them again.
//
// When a backend server ends, most of the requests that it was running are not the cause. The one that is keeps
// recurring and never receives an answer. Each request that was running when a backend server ended is therefore
// suspected. An answer clears it immediately; Limit ends without an answer in between quarantine it.
//
// # Usage
//
//	table := quarantine.New()
//	changed, ok := table.RecordEnd(now, quarantine.Request{ID: id, HeadHash: head, Service: "lookup"}, quarantine.End{Server: "i-7f3a", At: millis})
//	err := record.Check(now)                              // another writer may have left it
//	updates := table.Merge(records)                       // from other daemons or from the store; see Refutes
//	changed, ok = table.RecordAnswer(now, id)             // a backend server answered the request
//	table.RememberAnswer(at, id)                          // it did earlier, when the request was not suspected
//	changed, ok = table.ProposeTrial(now, id, "csepel-1") // may this daemon send it once more?
//	changed, ok = table.ReturnTrial(now, id, "csepel-1")  // it did not run
//	changed, ok = table.Lift(now, id)                     // an operator lifts the quarantine
//	view := table.View()                                  // immutable snapshot for lookups
//
// # Rules
//
//   - A Record holds the state of one request. Merging two records of a request is commutative, associative and
//     idempotent, so the path, the order and the number of times that a record arrives do not matter.
//   - An end is identified by the name of the backend server and the time that its sidecar assigned to the end, so
//     an end that several runs or daemons report counts once.
//   - An answer or an operator starts a new epoch without ends. The later of two epochs wins, so a late report
//     of an end of an earlier epoch has no effect.
//   - An answer also clears the ends before it that its daemon did not know yet: each daemon remembers its recent answers,
//     and refutes a quarantine that one of them contradicts, by an epoch in which these ends do not count
//     (Record.ClearedUntil). Answers and ends are ordered by the clocks of different hosts, so only ends of the last
//     RefutableFor before the answer are cleared, which bounds the effect of a clock that is wrong. A request that is
//     never answered is quarantined whatever the clocks say.
//   - A quarantined request gets one trial: a single daemon of the fleet sends it once more, TrialDelay after its
//     last end, since many backend servers may have ended together for an unrelated reason. A trial that does not
//     run, since the backend server has not started again, does not count: another is due TrialDelay later. After the
//     trial, only an operator, or the answer of a run that began earlier, lifts the quarantine.
//   - A suspected request expires SuspectTTL after its last change, and a lifted quarantine ClearedTTL after
//     its last change. A quarantine in force does not expire.
//
// What comes from elsewhere is checked in check.go. The Table is in table.go, the merge of records in record.go, and lookups in view.go. None of them uses a clock,
// a goroutine or a socket.
package quarantine

import "time"

const (
	// Limit is the number of ends without an answer at which a request is quarantined. One end implicates every
	// request that was running there, and two still coincide with unrelated ends of backend servers; see
	// docs/design/0014-quarantine.md.
	Limit = 3
	// RefutableFor is how long after an end of a backend server an answer at a daemon that did not know of the end still
	// clears it.
	RefutableFor = 3 * time.Second
	// SuspectTTL is how long after its last change a suspected request is kept. The store keeps its record
	// twice as long.
	SuspectTTL = 5 * time.Minute
	// ClearedTTL is how long the record of a lifted quarantine is kept, so that a daemon that was partitioned
	// for hours does not reinstate it.
	ClearedTTL = 24 * time.Hour
	// TrialDelay is the delay between the last end and the trial of a quarantined request. Backend servers that
	// end together do so within this time, and other runs of the request have been answered by then.
	TrialDelay = time.Second
	// maxRecords is the maximum number of records in a Table. At 400 bytes each, they take 1.6 MB. Suspected requests
	// are evicted first, oldest first.
	maxRecords = 4096
	// maxTextBytes is the maximum length of the method, host name and path that are kept for operators, in bytes.
	maxTextBytes = 200
)
