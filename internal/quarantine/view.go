package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is the quarantine status of a request.
type Status string

// Statuses of a request.
const (
	// Clear means that no backend server ended while running the request in the current epoch.
	Clear Status = "clear"
	// Suspected means that fewer than Limit backend servers ended while running the request.
	Suspected Status = "suspected"
	// Quarantined means that no backend server may receive the request.
	Quarantined Status = "quarantined"
)

// View is an immutable snapshot of a Table for lookups. It is safe for concurrent use.
type View struct {
	headHashes  map[uint64]struct{}
	statuses    map[string]Status
	trialDueAt  map[string]time.Time // time from which the trial of a quarantined request is due
	quarantines []Record             // of requests that are or were quarantined
	sum         uint64
}

// View returns a snapshot of the table.
func (t *Table) View() *View {
	v := &View{headHashes: make(map[uint64]struct{}), statuses: make(map[string]Status), trialDueAt: make(map[string]time.Time)}
	for _, r := range t.records {
		if r.EverQuarantined {
			v.quarantines = append(v.quarantines, r)
			v.sum ^= r.hash()
		}
		if !r.Suspected() {
			continue
		}
		v.headHashes[r.HeadHash] = struct{}{}
		v.statuses[r.ID] = r.Status()
		if from, ok := r.trialDueAt(); ok {
			v.trialDueAt[r.ID] = from
		}
	}
	return v
}

// Empty reports whether no request is suspected or quarantined.
func (v *View) Empty() bool { return len(v.headHashes) == 0 }

// MayContain reports whether a request with the head hash is suspected or quarantined. The digest, which includes the
// body, decides whether it is the same request.
func (v *View) MayContain(headHash uint64) bool {
	_, ok := v.headHashes[headHash]
	return ok
}

// Status returns the status of the request.
func (v *View) Status(id string) Status {
	if status, ok := v.statuses[id]; ok {
		return status
	}
	return Clear
}

// TrialDue reports whether the trial of the request is due and not claimed, judging by local state.
func (v *View) TrialDue(now time.Time, id string) bool {
	from, ok := v.trialDueAt[id]
	return ok && !now.Before(from)
}

// Quarantines returns the records of requests that are or were quarantined.
func (v *View) Quarantines() []Record { return v.quarantines }

// Sum returns a hash of the records that Quarantines returns. It does not depend on their order.
func (v *View) Sum() uint64 { return v.sum }

// hash returns a hash of the part of a quarantine record on which all daemons have to agree.
func (r Record) hash() uint64 {
	return xxhash.Sum64String(r.ID + strconv.FormatInt(r.Epoch, 10) + string(r.Status()))
}

// Count returns the number of requests with the status.
func (v *View) Count(status Status) int {
	count := 0
	for _, s := range v.statuses {
		if s == status {
			count++
		}
	}
	return count
}
