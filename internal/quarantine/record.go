package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Ended says why an epoch ended.
type Ended string

// The reasons.
const (
	// EndedAnswered means that a backend server answered the request.
	EndedAnswered Ended = "answered"
	// EndedLifted means that an operator lifted its quarantine.
	EndedLifted Ended = "lifted"
)

// Sighting is a request that a backend server ran when it ended.
type Sighting struct {
	// ID is its fingerprint's digest, Head the hash of all but its body.
	ID   string
	Head uint64
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

// Record is what is believed of a request.
type Record struct {
	ID      string `json:"id"`
	Head    uint64 `json:"head"`
	Service string `json:"service"`
	Method  string `json:"method"`
	Host    string `json:"host"`
	Path    string `json:"path"`
	// Epoch rises with each answer and each lifting.
	Epoch int64 `json:"epoch"`
	// Ends are those of this epoch, the earliest first, at most Limit.
	Ends []End `json:"ends,omitempty"`
	// Tried names the host that sends it once more in this epoch, or has; empty if none does.
	Tried string `json:"tried,omitempty"`
	// Held says that somebody took it for quarantined, in this epoch or an earlier one.
	Held bool `json:"held,omitempty"`
	// Cleared says why the epoch before ended; empty in the first.
	Cleared Ended `json:"cleared,omitempty"`
	// Changed is when that was last learned, in Unix milliseconds.
	Changed int64 `json:"changed"`
}

// newRecord returns the record of a request of which nothing is known yet.
func newRecord(s Sighting) Record {
	return Record{
		ID: s.ID, Head: s.Head, Service: s.Service,
		Method: cut(s.Method), Host: cut(s.Host), Path: cut(s.Path),
	}
}

// cut bounds a text.
func cut(text string) string { return text[:min(len(text), longestText)] }

// Quarantined reports whether no backend server is to be sent the request.
func (r Record) Quarantined() bool { return len(r.Ends) >= Limit }

// Suspected reports whether an answer would tell something of the request.
func (r Record) Suspected() bool { return len(r.Ends) > 0 }

// Status returns what is believed of the request.
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

// MayTry reports whether the request may be tried once more.
func (r Record) MayTry(now time.Time) bool {
	return r.Quarantined() && r.Tried == "" && now.Sub(r.LastEnd()) >= TrialAfter
}

// settled returns the record with Held as it follows from the rest. A merge does not do that, since what
// two records come to together depends on which others came before.
func (r Record) settled() Record {
	r.Held = r.WasQuarantined()
	return r
}

// WasQuarantined reports whether the request is quarantined or was in an earlier epoch.
func (r Record) WasQuarantined() bool { return r.Held || r.Quarantined() }

// Merge returns what both records of one request tell together.
func Merge(a, b Record) Record {
	if a.Epoch != b.Epoch {
		later, earlier := a, b
		if later.Epoch < earlier.Epoch {
			later, earlier = earlier, later
		}
		later.Held = a.Held || b.Held
		return later
	}
	merged := a
	merged.Service = max(a.Service, b.Service) // a request may go to one of several
	merged.Ends = mergeEnds(a.Ends, b.Ends)
	merged.Tried = max(a.Tried, b.Tried)
	merged.Held = a.Held || b.Held
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

// Same reports whether both tell the same.
func (r Record) Same(other Record) bool {
	return r.Epoch == other.Epoch && r.Tried == other.Tried && r.Held == other.Held && r.Cleared == other.Cleared &&
		r.Changed == other.Changed && slices.Equal(r.Ends, other.Ends)
}
