package evacuation_test

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/evacuation"
)

var dataCentres = []string{"angyalfold", "csepel", "obuda"}

// storeModel is the platform's store: the keys of evacuations and every change that was made.
type storeModel struct {
	revision int64
	current  map[string]evacuation.State
	changes  []evacuation.State
}

func (s *storeModel) set(name string, evacuated bool) {
	s.revision++
	state := evacuation.State{DataCentre: name, Evacuated: evacuated, Revision: s.revision}
	s.changes = append(s.changes, state)
	delete(s.current, name)
	if evacuated {
		s.current[name] = state
	}
}

func (s *storeModel) list() evacuation.View {
	return evacuation.View{States: slices.Collect(maps.Values(s.current)), Listed: s.revision}
}

// expected returns the evacuated data centres according to the store's history up to the revision.
func (s *storeModel) expected(name string, revision int64) bool {
	evacuated := false
	for _, change := range s.changes {
		if change.DataCentre == name && change.Revision <= revision {
			evacuated = change.Evacuated
		}
	}
	return evacuated
}

// TestStatesAreNeverUndone guards against an evacuation, or its end, that an outdated, repeated or
// reordered message undoes at a daemon, and against daemons that stay different.
func TestStatesAreNeverUndone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{current: make(map[string]evacuation.State)}
		tables := make([]*evacuation.Table, 5)
		for i := range tables {
			tables[i] = evacuation.NewTable()
		}
		seen := make([]map[string]int64, len(tables)) // revision in force by data centre
		for i := range seen {
			seen[i] = make(map[string]int64)
		}
		var views []evacuation.View // lists of the store and messages, which may arrive late
		check := func(i int) {
			for _, state := range tables[i].View().States {
				if state.Revision < seen[i][state.DataCentre] {
					t.Fatalf("daemon %d went back from revision %d to %+v", i, seen[i][state.DataCentre], state)
				}
				seen[i][state.DataCentre] = state.Revision
				if want := store.expected(state.DataCentre, state.Revision); want != state.Evacuated {
					t.Fatalf("daemon %d has %+v, which the store never held", i, state)
				}
			}
		}
		table := rapid.IntRange(0, len(tables)-1)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				store.set(rapid.SampledFrom(dataCentres).Draw(t, "data centre"), rapid.Bool().Draw(t, "evacuated"))
			},
			"list": func(*rapid.T) { views = append(views, store.list()) },
			"watch": func(t *rapid.T) {
				if len(store.changes) == 0 {
					t.Skip("nothing has changed")
				}
				i := table.Draw(t, "daemon")
				tables[i].Merge(evacuation.View{States: []evacuation.State{rapid.SampledFrom(store.changes).Draw(t, "change")}})
				check(i)
			},
			"tell": func(t *rapid.T) { views = append(views, tables[table.Draw(t, "from")].View()) },
			"hear": func(t *rapid.T) {
				if len(views) == 0 {
					t.Skip("nothing was told")
				}
				i := table.Draw(t, "to")
				tables[i].Merge(rapid.SampledFrom(views).Draw(t, "view"))
				check(i)
			},
		})
		tables[0].Merge(store.list())
		want := slices.Sorted(maps.Keys(store.current))
		for i, other := range tables {
			tables[0].Merge(other.View())
			other.Merge(tables[0].View())
			if !slices.Equal(other.Evacuated(), want) {
				t.Fatalf("daemon %d: %v evacuated, the store has %v", i, other.Evacuated(), want)
			}
		}
	})
}

// TestSumTellsTablesApart guards against two daemons that take different tables for equal ones, or
// compare again and again although theirs are equal.
func TestSumTellsTablesApart(t *testing.T) {
	begun := evacuation.State{DataCentre: "csepel", Evacuated: true, Revision: 4}
	ended := evacuation.State{DataCentre: "csepel", Revision: 5}
	sums := make(map[uint64]string)
	for name, states := range map[string][]evacuation.State{"none": nil, "begun": {begun}, "ended": {begun, ended}} {
		table := evacuation.NewTable()
		table.Merge(evacuation.View{States: states})
		if other, ok := sums[table.Sum()]; ok {
			t.Errorf("%s and %s have the same sum", name, other)
		}
		sums[table.Sum()] = name
		same := evacuation.NewTable()
		same.Merge(evacuation.View{States: states[max(0, len(states)-1):]})
		if same.Sum() != table.Sum() {
			t.Errorf("%s: the sum depends on how the state was received", name)
		}
	}
	if sums[0] != "none" {
		t.Error("the sum of an empty table is not zero")
	}
}
