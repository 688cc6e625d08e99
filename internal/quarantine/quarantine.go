// Package quarantine decides which requests no backend server is sent any more, since they have ended
// each one that ran them.
//
// Most requests that run on a backend server when it ends have nothing to do with that. The guilty one
// shows by coming back: it is there each time, and it is never answered. So each request that a backend
// server ran when it ended is suspected, an answer clears it at once, and one that was there at Limit
// ends without an answer in between is quarantined.
//
// # Usage
//
//	table := quarantine.New()
//	changed, ok := table.RecordEnd(now, quarantine.Sighting{ID: id, Head: head, Service: "lookup"}, quarantine.End{Server: "i-7f3a", At: millis})
//	updates := table.Merge(records)                       // of other daemons or of the store
//	changed, ok = table.RecordAnswer(now, id)             // a backend server answered it
//	changed, ok = table.ProposeTrial(now, id, "csepel-1") // may this daemon send it once more?
//	changed, ok = table.Lift(now, id)                     // an operator lifts its quarantine
//	view := table.View()                                  // for lookups, never changed
//
// # Rules
//
//   - What is known of a request is a Record. Two records of one request merge into one, in any order
//     and any number of times with the same result, so that it does not matter by which ways a
//     record comes and how often.
//   - A record counts ends by the backend server's name and the time that its sidecar gave the end, so
//     that an end that several runs or daemons report counts once.
//   - An answer, or an operator, begins a new epoch without ends. Of two epochs the later holds, so
//     that a late report of an earlier end changes nothing.
//   - A request in quarantine is tried once more, by one daemon of the fleet, some time after its last
//     end: many backend servers may have ended together by themselves. After that only an operator
//     lifts it, or the answer of a run that began before.
//   - A suspect is forgotten some time after its last change, and the end of a quarantine a day after it; what
//     is quarantined is not.
//
// A Table is in table.go, the merge of records in record.go, lookups in view.go. None of them has a clock,
// goroutine or socket.
package quarantine

import "time"

const (
	// Limit is at how many ends without an answer a request is quarantined. Source: users
	// allow three ends. One blames every request that ran there, and two still meet backend
	// servers that end by themselves; docs/design/0014-quarantine.md has the ways compared.
	Limit = 3
	// SuspectTTL is how long after its last end a request is suspected. Not measured: one that comes
	// again does so within seconds or minutes; the store keeps a record twice as long.
	SuspectTTL = 5 * time.Minute
	// ClearedTTL is how long it is remembered that a quarantine has ended. Not measured: a daemon that was cut
	// off meanwhile still reports it when it is back, which may take hours.
	ClearedTTL = 24 * time.Hour
	// TrialDelay is how long after its last end a request in quarantine is tried once more. Source:
	// backend servers that end together do so within a second, and those that still ran it have
	// answered by then.
	TrialDelay = time.Second
	// most bounds how many records are kept. Source: at 400 bytes each they take 1.6 MB of a daemon's
	// 256 MB. Suspects go first, the oldest of them before the others.
	most = 4096
	// longestText bounds what is kept of a name or path for operators, in bytes. Not measured: enough to
	// find the request in logs.
	longestText = 200
)
