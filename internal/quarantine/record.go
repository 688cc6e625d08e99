package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// ClearedBy says why an epoch ended.
type ClearedBy string

// The reasons.
const (
	// ClearedByAnswer means that a backend server answered the request.
	ClearedByAnswer ClearedBy = "answered"
	// ClearedByOperator means that an operator lifted its quarantine.
	ClearedByOperator ClearedBy = "lifted"
)

// Request is a request that a backend server ran when it ended.
type Request struct {
	// ID is its fingerprint's digest, Head the hash of all but its body.
	ID       string
	HeadHash uint64
	// Service ran it.
	Service string
	// Method, Host and Path are for operators.
	Method, Host, Path string
}

// End is the end of a backend server. Its sidecar, the only observer, gives it one time for all requests that ran,
// so that both fields together name it: a backend server may start again under the name that it had.
type End struct {
	// Server is the backend server's name.
	Server string `json:"server"`
	// At is when, in Unix milliseconds.
	At int64 `json:"at"`
}

// Record is what is known of a request.
type Record struct {
	ID       string `json:"id"`
	HeadHash uint64 `json:"head"`
	Service  string `json:"service"`
	Method   string `json:"method"`
	Host     string `json:"host"`
	Path     string `json:"path"`
	// Epoch rises with each answer and each lifting.
	Epoch int64 `json:"epoch"`
	// Ends are those of this epoch, the earliest first, at most Limit.
	Ends []End `json:"ends,omitempty"`
	// TrialHost names the host that sends it once more in this epoch, or has; empty if none does.
	TrialHost string `json:"tried,omitempty"`
	// EverQuarantined says that a daemon had it in quarantine, in this epoch or an earlier one.
	EverQuarantined bool `json:"held,omitempty"`
	// Cleared says why the epoch before ended; empty in the first.
	Cleared ClearedBy `json:"cleared,omitempty"`
	// Changed is when an end, an answer, a trial or a lifting was last recorded, in Unix milliseconds.
	Changed int64 `json:"changed"`
}

// newRecord returns the record of a request that was seen for the first time.
func newRecord(s Request) Record {
	return Record{
		ID: s.ID, HeadHash: s.HeadHash, Service: s.Service,
		Method: cut(s.Method), Host: cut(s.Host), Path: cut(s.Path),
	}
}

// cut bounds a text.
func cut(text string) string { return text[:min(len(text), longestText)] }

// Quarantined reports whether no backend server is to be sent the request.
func (r Record) Quarantined() bool { return len(r.Ends) >= Limit }

// Suspected reports whether a backend server has ended while it ran the request, in this epoch.
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

// Servers returns the backend servers that ended while they ran the request.
func (r Record) Servers() []string {
	servers := make([]string, 0, len(r.Ends))
	for _, end := range r.Ends {
		servers = append(servers, end.Server)
	}
	return servers
}

// LastEnd returns when the last end that is counted was; the zero time without one.
func (r Record) LastEnd() time.Time {
	if len(r.Ends) == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.Ends[len(r.Ends)-1].At)
}

// TrialDue reports whether the request may be tried once more.
func (r Record) TrialDue(now time.Time) bool {
	from, ok := r.trialFrom()
	return ok && !now.Before(from)
}

// trialFrom returns from when on the request may be tried once more, if it may be at all.
func (r Record) trialFrom() (time.Time, bool) {
	return r.LastEnd().Add(TrialDelay), r.Quarantined() && r.TrialHost == ""
}

// settled returns the record with EverQuarantined as it follows from the rest. A merge does not do that, since what
// two records come to together depends on which others came before.
func (r Record) settled() Record {
	r.EverQuarantined = r.WasQuarantined()
	return r
}

// WasQuarantined reports whether the request is quarantined or was in an earlier epoch.
func (r Record) WasQuarantined() bool { return r.EverQuarantined || r.Quarantined() }

// Merge returns the record with what both records of one request know.
func Merge(a, b Record) Record {
	if a.Epoch != b.Epoch {
		later, earlier := a, b
		if later.Epoch < earlier.Epoch {
			later, earlier = earlier, later
		}
		later.EverQuarantined = a.EverQuarantined || b.EverQuarantined
		return later
	}
	merged := a
	merged.Service = max(a.Service, b.Service) // a request may go to one of several
	merged.Ends = mergeEnds(a.Ends, b.Ends)
	merged.TrialHost = max(a.TrialHost, b.TrialHost)
	merged.EverQuarantined = a.EverQuarantined || b.EverQuarantined
	merged.Cleared = max(a.Cleared, b.Cleared)
	merged.Changed = max(a.Changed, b.Changed)
	return merged
}

// mergeEnds returns the earliest ends of both.
func mergeEnds(a, b []End) []End {
	merged := slices.Concat(a, b)
	slices.SortFunc(merged, func(x, y End) int {
		return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Server, y.Server))
	})
	merged = slices.Compact(merged)
	return merged[:min(len(merged), Limit)]
}

// Same reports whether both know the same.
func (r Record) Same(other Record) bool {
	return r.Epoch == other.Epoch && r.TrialHost == other.TrialHost && r.EverQuarantined == other.EverQuarantined && r.Cleared == other.Cleared &&
		r.Changed == other.Changed && slices.Equal(r.Ends, other.Ends)
}
