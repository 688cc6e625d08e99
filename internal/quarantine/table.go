package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Table holds the records of one daemon. It is not safe for concurrent use.
type Table struct {
	records map[string]Record
	answers answers
}

// New returns an empty table.
func New() *Table { return &Table{records: make(map[string]Record)} }

// RecordEnd records that a backend server ended while running the request. It returns the changed record, which the
// caller distributes, or false if the end is already known.
func (t *Table) RecordEnd(now time.Time, request Request, end End) (Record, bool) {
	known, ok := t.records[request.ID]
	if !ok {
		known = newRecord(request)
	}
	update := known
	update.Ends = []End{end}
	update.Changed = now.UnixMilli()
	return t.put(t.refute(Merge(known, update)))
}

// RecordAnswer records that a backend server answered the request, which clears it. It returns the changed record,
// which the caller distributes, or false if the request was not suspected.
func (t *Table) RecordAnswer(now time.Time, id string) (Record, bool) {
	t.RememberAnswer(now, id)
	return t.clear(now, id, ClearedByAnswer)
}

// RememberAnswer records that a backend server answered the request at an earlier time, when it was not suspected here.
// Ends before that time, which may be reported later, do not count.
func (t *Table) RememberAnswer(at time.Time, id string) { t.answers.record(at, id) }

// Lift records that an operator cleared the request. It returns the changed record, which the caller
// distributes, or false if the request was not suspected.
func (t *Table) Lift(now time.Time, id string) (Record, bool) {
	return t.clear(now, id, ClearedByOperator)
}

// clear starts a new epoch of a suspected request.
func (t *Table) clear(now time.Time, id string, by ClearedBy) (Record, bool) {
	r, ok := t.records[id]
	if !ok || !r.Suspected() {
		return Record{}, false
	}
	if by == ClearedByOperator { // other daemons may have cleared the request more often, in a later epoch
		latest := now.Add(RefutableFor).UnixMilli() // the clock of the last end's host may be ahead
		r.ClearedUntil = max(r.ClearedUntil, min(r.Ends[len(r.Ends)-1].At+1, latest))
	}
	r.Epoch++
	r.Ends = nil
	r.forgetTrials()
	r.Cleared = by
	r.Changed = now.UnixMilli()
	return t.put(r)
}

// ProposeTrial reports whether the host may claim the trial of a quarantined request, judging by local state, and
// returns the record that claims it. The table is unchanged: before it sends the request, the host must commit the
// record as the only claim.
func (t *Table) ProposeTrial(now time.Time, id, host string) (Record, bool) {
	r, ok := t.records[id]
	if !ok || !r.TrialDue(now) {
		return Record{}, false
	}
	return r.ClaimTrial(now, host), true
}

// ReturnTrial records that the trial that the host has claimed did not run. It returns the changed record,
// which the caller distributes, or false if the host has not claimed the last trial.
func (t *Table) ReturnTrial(now time.Time, id, host string) (Record, bool) {
	r, ok := t.records[id]
	if !ok || !r.TrialClaimed() || r.TrialHost != host {
		return Record{}, false
	}
	r.NotRun = r.trials()
	r.Changed = now.UnixMilli()
	return t.put(r)
}

// Merge merges records of other daemons or of the store into the table, and returns the changed records.
func (t *Table) Merge(records []Record) []Record {
	var updates []Record
	for _, r := range records {
		r = r.normalized() // a daemon with a later epoch learns that there was a quarantine
		if known, ok := t.records[r.ID]; ok {
			r = Merge(known, r)
		}
		if merged, ok := t.put(t.refute(r)); ok {
			updates = append(updates, merged)
		}
	}
	return updates
}

// refute returns the record, refuted if it is quarantined and the daemon remembers an answer that contradicts it.
func (t *Table) refute(r Record) Record {
	if at, ok := t.answers.last(r.ID); ok {
		return r.refuted(at)
	}
	return r
}

// put stores the record and reports whether it differs from the previous one.
func (t *Table) put(r Record) (Record, bool) {
	r = r.normalized()
	if known, ok := t.records[r.ID]; ok && known.Same(r) {
		return Record{}, false
	}
	t.records[r.ID] = r
	return r, true
}

// Find returns the record of the request.
func (t *Table) Find(id string) (Record, bool) {
	r, ok := t.records[id]
	return r, ok
}

// Prune removes and returns the expired records, and then those evicted because the table exceeds its limit.
func (t *Table) Prune(now time.Time) (expired, evicted []Record) {
	for _, r := range t.records {
		if r.expired(now) {
			expired = append(expired, r)
			delete(t.records, r.ID)
		}
	}
	evicted = t.evictable()
	for _, r := range evicted {
		delete(t.records, r.ID)
	}
	return expired, evicted
}

// expired reports whether the record was not changed for longer than it is kept.
func (r Record) expired(now time.Time) bool {
	sinceChange := now.Sub(time.UnixMilli(r.Changed))
	switch {
	case r.Quarantined():
		return false
	case r.EverQuarantined:
		return sinceChange > ClearedTTL
	default:
		return sinceChange > SuspectTTL
	}
}

// evictable returns the records to evict: those that are not quarantined first, and the oldest first among these.
func (t *Table) evictable() []Record {
	if len(t.records) <= maxRecords {
		return nil
	}
	all := t.Records()
	slices.SortStableFunc(all, func(a, b Record) int {
		if a.Quarantined() != b.Quarantined() {
			if b.Quarantined() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Changed, b.Changed)
	})
	return all[:len(all)-maxRecords]
}

// Records returns all records, sorted by ID.
func (t *Table) Records() []Record {
	return slices.SortedFunc(maps.Values(t.records), func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
}
