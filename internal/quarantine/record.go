package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// ClearedBy is the reason why an epoch ended.
type ClearedBy string

// Reasons why an epoch ended.
const (
	// ClearedByAnswer means that a backend server answered the request.
	ClearedByAnswer ClearedBy = "answered"
	// ClearedByOperator means that an operator cleared the request.
	ClearedByOperator ClearedBy = "lifted"
)

// Request identifies a request that a backend server was running when it ended.
type Request struct {
	// ID is the digest of the request's fingerprint; HeadHash is the hash of everything but the body.
	ID       string
	HeadHash uint64
	// Service is the service of the backend server.
	Service string
	// Method, Host and Path describe the request to operators.
	Method, Host, Path string
}

// End identifies one end of a backend server. A backend server may restart under the same name, so both fields are
// needed; its sidecar, the only observer, assigns the same time for all requests that were running.
type End struct {
	// Server is the backend server's name.
	Server string `json:"server"`
	// At is the time of the end, in Unix milliseconds.
	At int64 `json:"at"`
}

// Record is the quarantine state of a request.
type Record struct {
	ID       string `json:"id"`
	HeadHash uint64 `json:"head"`
	Service  string `json:"service"`
	Method   string `json:"method"`
	Host     string `json:"host"`
	Path     string `json:"path"`
	// Epoch increases each time the request is cleared.
	Epoch int64 `json:"epoch"`
	// Ends holds the last ends in this epoch, earliest first, at most Limit.
	Ends []End `json:"ends,omitempty"`
	// ClearedUntil is the time before which ends do not count towards Limit, in Unix milliseconds; zero if none was
	// cleared. It holds across epochs, so that a report that arrives after they were cleared does not count them again.
	ClearedUntil int64 `json:"cleared_until,omitempty"`
	// TrialHost is the host that claimed the last trial in this epoch; empty if none is claimed.
	TrialHost string `json:"tried,omitempty"`
	// Trials is the number of trials claimed in this epoch; records of earlier versions count one without it. NotRun is
	// how many of them did not run, after which the trial is due again.
	Trials int64 `json:"trials,omitempty"`
	NotRun int64 `json:"not_run,omitempty"`
	// EverQuarantined is true if a daemon had the request in quarantine in this epoch or an earlier one.
	EverQuarantined bool `json:"held,omitempty"`
	// Cleared is the reason why the previous epoch ended; empty in the first epoch.
	Cleared ClearedBy `json:"cleared,omitempty"`
	// Changed is the time of the last end, answer, trial or lift, in Unix milliseconds.
	Changed int64 `json:"changed"`
}

// newRecord returns a record without ends, in the first epoch.
func newRecord(request Request) Record {
	return Record{
		ID: request.ID, HeadHash: request.HeadHash, Service: request.Service,
		Method: truncate(request.Method), Host: truncate(request.Host), Path: truncate(request.Path),
	}
}

func truncate(text string) string { return text[:min(len(text), maxTextBytes)] }

// Quarantined reports whether the request is quarantined, which it is if its last Limit ends all count.
func (r Record) Quarantined() bool { return len(r.Ends) >= Limit && r.Ends[0].At >= r.ClearedUntil }

// Suspected reports whether a backend server ended while running the request in this epoch. It is also true for a
// quarantined request.
func (r Record) Suspected() bool { return len(r.Ends) > 0 }

// Status returns the status of the request.
func (r Record) Status() Status {
	switch {
	case r.Quarantined():
		return Quarantined
	case r.Suspected():
		return Suspected
	default:
		return Clear
	}
}

// Servers returns the names of the backend servers that ended while running the request.
func (r Record) Servers() []string {
	servers := make([]string, 0, len(r.Ends))
	for _, end := range r.Ends {
		servers = append(servers, end.Server)
	}
	return servers
}

// LastEnd returns the time of the last of Ends, or the zero time if there is none.
func (r Record) LastEnd() time.Time {
	if len(r.Ends) == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.Ends[len(r.Ends)-1].At)
}

// TrialDue reports whether the trial of the request is due and not claimed.
func (r Record) TrialDue(now time.Time) bool {
	from, ok := r.trialDueAt()
	return ok && !now.Before(from)
}

// trialDueAt returns the time from which the trial is due, and reports whether the request is eligible for one.
func (r Record) trialDueAt() (time.Time, bool) {
	from := r.LastEnd()
	if r.NotRun > 0 {
		from = time.UnixMilli(max(from.UnixMilli(), r.Changed)) // when the last one was given back
	}
	return from.Add(TrialDelay), r.Quarantined() && !r.TrialClaimed()
}

// TrialClaimed reports whether a host has claimed the trial and not given it back.
func (r Record) TrialClaimed() bool { return r.trials() > r.NotRun }

// trials returns the number of trials claimed in this epoch.
func (r Record) trials() int64 {
	if r.TrialHost != "" {
		return max(1, r.Trials)
	}
	return r.Trials
}

// ClaimTrial returns the record with the next trial claimed for the host.
func (r Record) ClaimTrial(now time.Time, host string) Record {
	r.Trials = r.trials() + 1
	r.TrialHost = host
	r.Changed = now.UnixMilli()
	return r
}

// normalized returns the record with EverQuarantined derived from its other fields. Merge does not derive it, since the
// result would then depend on the order of merges.
func (r Record) normalized() Record {
	r.EverQuarantined = r.WasQuarantined()
	return r
}

// WasQuarantined reports whether the request is quarantined or was in an earlier epoch.
func (r Record) WasQuarantined() bool { return r.EverQuarantined || r.Quarantined() }

// refuted returns the record in the next epoch if an answer at the time, in Unix milliseconds, ends its quarantine. The
// ends that the answer clears do not count there.
func (r Record) refuted(answeredAt int64) Record {
	next := r.normalized()
	for _, end := range r.Ends {
		if end.At < answeredAt && answeredAt-end.At <= RefutableFor.Milliseconds() {
			next.ClearedUntil = max(next.ClearedUntil, end.At+1)
		}
	}
	if !r.Quarantined() || next.Quarantined() {
		return r
	}
	next.Epoch++
	next.forgetTrials()
	next.Cleared = ClearedByAnswer
	next.Changed = max(r.Changed, answeredAt)
	return next
}

// forgetTrials removes the trials of an earlier epoch.
func (r *Record) forgetTrials() { r.TrialHost, r.Trials, r.NotRun = "", 0, 0 }

// Refutes reports whether the record, which a daemon has after a merge, refutes the received one, so that the daemon has
// to distribute it. before is what the daemon had.
func (r Record) Refutes(received, before Record) bool {
	return r.Epoch > received.Epoch && r.Epoch > before.Epoch
}

// Merge combines two records of the same request. It is commutative, associative and idempotent.
func Merge(a, b Record) Record {
	if a.Epoch != b.Epoch {
		later, earlier := a, b
		if later.Epoch < earlier.Epoch {
			later, earlier = earlier, later
		}
		later.EverQuarantined = a.EverQuarantined || b.EverQuarantined
		later.ClearedUntil = max(a.ClearedUntil, b.ClearedUntil)
		return later
	}
	merged := a
	merged.Service = max(a.Service, b.Service) // a request may be routed to one of several services
	merged.Ends = mergeEnds(a.Ends, b.Ends)
	merged.TrialHost = lastTrialHost(a, b)
	merged.Trials = max(a.Trials, b.Trials)
	merged.NotRun = max(a.NotRun, b.NotRun)
	merged.ClearedUntil = max(a.ClearedUntil, b.ClearedUntil)
	merged.EverQuarantined = a.EverQuarantined || b.EverQuarantined
	merged.Cleared = max(a.Cleared, b.Cleared)
	merged.Changed = max(a.Changed, b.Changed)
	return merged
}

// lastTrialHost returns the host of the last trial of both records.
func lastTrialHost(a, b Record) string {
	switch {
	case a.Trials > b.Trials:
		return a.TrialHost
	case b.Trials > a.Trials:
		return b.TrialHost
	default:
		return max(a.TrialHost, b.TrialHost)
	}
}

// mergeEnds returns the last distinct ends of both, at most Limit, earliest first.
func mergeEnds(a, b []End) []End {
	merged := slices.Concat(a, b)
	slices.SortFunc(merged, func(x, y End) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Server, y.Server))
	})
	merged = slices.Compact(merged)
	return merged[max(0, len(merged)-Limit):]
}

// Same reports whether both records of a request hold the same state.
func (r Record) Same(other Record) bool {
	return r.Epoch == other.Epoch && r.TrialHost == other.TrialHost && r.Trials == other.Trials && r.NotRun == other.NotRun && r.EverQuarantined == other.EverQuarantined && r.Cleared == other.Cleared &&
		r.ClearedUntil == other.ClearedUntil && r.Changed == other.Changed && slices.Equal(r.Ends, other.Ends)
}
