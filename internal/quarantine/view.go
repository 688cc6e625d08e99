package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status says whether backend servers are sent a request.
type Status string

// The statuses.
const (
	// Clear means that nothing is held against the request.
	Clear Status = "clear"
	// Suspected means that backend servers ended that ran it, too few yet.
	Suspected Status = "suspected"
	// Quarantined means that no backend server is to be sent it.
	Quarantined Status = "quarantined"
)

// View answers lookups. It does not change, so that any number of goroutines may read it.
type View struct {
	heads       map[uint64]struct{}
	statuses    map[string]Status
	trialFrom   map[string]time.Time // from when on requests in quarantine may be tried once more
	quarantines []Record             // of requests that are quarantined, or were
	sum         uint64
}

// View returns the present view of the table.
func (t *Table) View() *View {
	v := &View{heads: make(map[uint64]struct{}), statuses: make(map[string]Status), trialFrom: make(map[string]time.Time)}
	for _, r := range t.records {
		if r.EverQuarantined {
			v.quarantines = append(v.quarantines, r)
			v.sum ^= r.hash()
		}
		if !r.Suspected() {
			continue
		}
		v.heads[r.HeadHash] = struct{}{}
		v.statuses[r.ID] = r.Status()
		if from, ok := r.trialFrom(); ok {
			v.trialFrom[r.ID] = from
		}
	}
	return v
}

// Empty reports whether nothing is held against any request.
func (v *View) Empty() bool { return len(v.heads) == 0 }

// MayContain reports whether something is held against a request with that head; its body shows whether it is
// the same one.
func (v *View) MayContain(head uint64) bool {
	_, ok := v.heads[head]
	return ok
}

// Status returns the status of the request.
func (v *View) Status(id string) Status {
	if status, ok := v.statuses[id]; ok {
		return status
	}
	return Clear
}

// TrialDue reports whether the request may be tried once more, as far as is known here.
func (v *View) TrialDue(now time.Time, id string) bool {
	from, ok := v.trialFrom[id]
	return ok && !now.Before(from)
}

// Quarantines returns the records of what is quarantined, or was.
func (v *View) Quarantines() []Record { return v.quarantines }

// Sum returns a hash of the records that Quarantines returns.
func (v *View) Sum() uint64 { return v.sum }

// hash returns a hash of what all daemons should know of a quarantine.
func (r Record) hash() uint64 {
	return xxhash.Sum64String(r.ID + strconv.FormatInt(r.Epoch, 10) + string(r.Status()))
}

// Count returns how many requests have that status.
func (v *View) Count(status Status) int {
	count := 0
	for _, s := range v.statuses {
		if s == status {
			count++
		}
	}
	return count
}
