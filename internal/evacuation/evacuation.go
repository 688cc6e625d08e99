// Package evacuation tracks which data centres are evacuated. The backend servers of an evacuated
// data centre receive no new requests.
//
// A Table holds the state of each data centre that was ever evacuated, with the revision of the
// store at which it last changed. States are received from the store and from other daemons, in any
// order and more than once; of two states of a data centre, the one with the higher revision is in
// force. The end of an evacuation is a state like its beginning, so an outdated message cannot undo
// it. A Table has no clock, goroutine or socket.
//
// A daemon that listed the evacuations after one had ended has no state of that data centre. The
// table therefore records the revision of the newest list that it is based on, its own or another
// daemon's: older states of data centres that it does not hold are outdated.
//
// # Usage
//
//	t := evacuation.NewTable()
//	changed := t.Merge(evacuation.View{States: listed, Listed: batch.Revision}) // a complete list
//	changed = t.Merge(evacuation.View{States: changes})                         // some changes
//	changed = t.Merge(peer)                                                     // another daemon's t.View()
//	for _, name := range t.Evacuated() { ... }
package evacuation

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is the state of one data centre.
type State struct {
	DataCentre string `json:"data_centre"`
	// Evacuated reports whether the data centre's backend servers receive no new requests.
	Evacuated bool `json:"evacuated,omitempty"`
	// Revision is the revision of the store at which the state began.
	Revision int64 `json:"revision"`
}

// View is a set of states, as received from the store or sent by a daemon.
type View struct {
	States []State `json:"states,omitempty"`
	// Listed is the revision of the store as of which the view is complete: a data centre without a
	// state was not evacuated then. It is zero if the states are only some changes.
	Listed int64 `json:"listed,omitempty"`
}

// Table holds the last known state of each data centre.
type Table struct {
	states map[string]State
	listed int64 // revision as of which the table is complete
}

// NewTable returns a table in which no data centre is evacuated.
func NewTable() *Table { return &Table{states: make(map[string]State)} }

// Merge merges a view and returns the states that changed the table.
func (t *Table) Merge(view View) []State {
	var changed []State
	for _, s := range slices.Concat(view.States, t.endedBy(view)) {
		if t.isNew(s) {
			t.states[s.DataCentre] = s
			changed = append(changed, s)
		}
	}
	t.listed = max(t.listed, view.Listed)
	return changed
}

// endedBy returns the ends of the evacuations that the complete view does not hold.
func (t *Table) endedBy(view View) []State {
	var ended []State
	for name, s := range t.states {
		isHeld := slices.ContainsFunc(view.States, func(v State) bool { return v.DataCentre == name && v.Evacuated })
		if s.Evacuated && !isHeld {
			ended = append(ended, State{DataCentre: name, Revision: view.Listed})
		}
	}
	return ended
}

// isNew reports whether the state is newer than what the table holds of the data centre.
func (t *Table) isNew(s State) bool {
	return s.DataCentre != "" && s.Revision > max(t.listed, t.states[s.DataCentre].Revision)
}

// View returns the view to send to another daemon.
func (t *Table) View() View {
	states := slices.SortedFunc(maps.Values(t.states), func(a, b State) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return View{States: states, Listed: t.listed}
}

// Evacuated returns the names of the evacuated data centres, sorted.
func (t *Table) Evacuated() []string {
	var names []string
	for _, s := range t.View().States {
		if s.Evacuated {
			names = append(names, s.DataCentre)
		}
	}
	return names
}

// Sum returns a hash of all states, which is zero while no data centre was ever evacuated. Daemons
// compare sums to detect that their tables differ.
func (t *Table) Sum() uint64 {
	var sum uint64
	for name, s := range t.states {
		evacuated := uint64(0)
		if s.Evacuated {
			evacuated = 1
		}
		encoded := binary.LittleEndian.AppendUint64([]byte(name), uint64(s.Revision)<<1|evacuated) //nolint:gosec // revisions are positive
		sum ^= xxhash.Sum64(encoded)
	}
	return sum
}
