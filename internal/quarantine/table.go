package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Table is what one daemon knows of requests.
type Table struct {
	records map[string]Record
}

// New returns a table without records.
func New() *Table { return &Table{records: make(map[string]Record)} }

// RecordEnd records that a backend server ended while it ran the request. It returns the record to tell others,
// or false if that is known.
func (t *Table) RecordEnd(now time.Time, s Request, end End) (Record, bool) {
	known, ok := t.records[s.ID]
	if !ok {
		known = newRecord(s)
	}
	seen := known
	seen.Ends = []End{end}
	seen.Changed = now.UnixMilli()
	return t.put(Merge(known, seen))
}

// RecordAnswer records that a backend server answered the request. It returns the record to tell others, or
// false if nothing was held against it.
func (t *Table) RecordAnswer(now time.Time, id string) (Record, bool) {
	return t.clear(now, id, ClearedByAnswer)
}

// Lift records that an operator lets the request run. It returns the record to tell others, or false if
// nothing is held against it.
func (t *Table) Lift(now time.Time, id string) (Record, bool) {
	return t.clear(now, id, ClearedByOperator)
}

// clear begins a new epoch of a request that is suspected.
func (t *Table) clear(now time.Time, id string, by ClearedBy) (Record, bool) {
	r, ok := t.records[id]
	if !ok || !r.Suspected() {
		return Record{}, false
	}
	r.Epoch++
	r.Ends = nil
	r.TrialHost = ""
	r.Cleared = by
	r.Changed = now.UnixMilli()
	return t.put(r)
}

// ProposeTrial reports whether the host may send a request in quarantine once more, as far as is known here, and
// returns the record that says so, which it must first have made known as the only one.
func (t *Table) ProposeTrial(now time.Time, id, host string) (Record, bool) {
	r, ok := t.records[id]
	if !ok || !r.TrialDue(now) {
		return Record{}, false
	}
	r.TrialHost = host
	r.Changed = now.UnixMilli()
	return r, true
}

// Merge merges records of other daemons or of the store, and returns those that have changed.
func (t *Table) Merge(records []Record) []Record {
	var updates []Record
	for _, r := range records {
		if known, ok := t.records[r.ID]; ok {
			r = Merge(known, r)
		}
		if changed, ok := t.put(r); ok {
			updates = append(updates, changed)
		}
	}
	return updates
}

// put stores the record and reports whether it differs from the one before.
func (t *Table) put(r Record) (Record, bool) {
	r = r.settled()
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

// Prune drops the records that are no longer needed, which it returns as lapsed, and those beyond the most that
// are kept, which it returns as dropped.
func (t *Table) Prune(now time.Time) (lapsed, dropped []Record) {
	for _, r := range t.records {
		if r.lapsed(now) {
			lapsed = append(lapsed, r)
			delete(t.records, r.ID)
		}
	}
	dropped = t.tooMany()
	for _, r := range dropped {
		delete(t.records, r.ID)
	}
	return lapsed, dropped
}

// lapsed reports whether the record is no longer needed.
func (r Record) lapsed(now time.Time) bool {
	unchanged := now.Sub(time.UnixMilli(r.Changed))
	switch {
	case r.Quarantined():
		return false
	case r.EverQuarantined:
		return unchanged > ClearedTTL
	default:
		return unchanged > SuspectTTL
	}
}

// tooMany returns the records beyond the most that are kept: those that are no quarantine go first, and of
// these the oldest.
func (t *Table) tooMany() []Record {
	if len(t.records) <= most {
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
	return all[:len(all)-most]
}

// Records returns all records, in the order of their ids.
func (t *Table) Records() []Record {
	return slices.SortedFunc(maps.Values(t.records), func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
}
