package quarantinesync_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/quarantine"
)

// TestForgedRecordIsNotTaken guards against a request that is quarantined for good, or never, because another writer has
// left a record of it with the greatest numbers in the store, or another daemon passes that on.
func TestForgedRecordIsNotTaken(t *testing.T) {
	for name, change := range map[string]func(*quarantine.Record){
		"quarantined in the greatest epoch": func(r *quarantine.Record) { r.Epoch = math.MaxInt64 },
		"cleared in the greatest epoch":     func(r *quarantine.Record) { r.Epoch, r.Ends = math.MaxInt64, nil },
		"cleared for ever":                  func(r *quarantine.Record) { r.ClearedUntil = math.MaxInt64 },
		"quarantined in the future":         func(r *quarantine.Record) { r.Ends[2].At = math.MaxInt64 },
	} {
		for _, stored := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				g := newGroup(t, 0)
				writer := g.add()
				writer.RecordEnd(request("guilty"), "lookup", quarantine.End{Server: "first", At: time.Now().UnixMilli()})
				record := writer.Records()[0]
				forged := record
				forged.EverQuarantined = true
				forged.Ends = []quarantine.End{{Server: "a", At: 1}, {Server: "b", At: 2}, {Server: "c", At: 3}}
				change(&forged)
				if stored {
					data, err := json.Marshal(forged)
					if err != nil {
						t.Fatal(err)
					}
					g.standin.Write(prefix+"/held/"+forged.ID, data)
				}
				syncer := g.add()
				if !stored {
					syncer.Merge([]quarantine.Record{forged})
				}
				g.await("the record is refused", func() bool { return g.logged("event=404") > 0 })
				if got := status(syncer, "guilty"); got != quarantine.Clear {
					t.Errorf("the request is %s, want %s", got, quarantine.Clear)
				}
				for n := range quarantine.Limit {
					syncer.RecordEnd(request("guilty"), "lookup", quarantine.End{Server: string(rune('x' + n)), At: time.Now().UnixMilli()})
				}
				if got := status(syncer, "guilty"); got != quarantine.Quarantined {
					t.Errorf("after %d ends the request is %s, want %s", quarantine.Limit, got, quarantine.Quarantined)
				}
				_, id := syncer.Status(request("guilty"))
				if _, err := syncer.Lift(t.Context(), id); err != nil {
					t.Errorf("lift: %v", err)
				}
				g.awaitClear(id)
			})
		}
	}
}

// awaitClear waits until a syncer that starts now has the request clear.
func (g *group) awaitClear(id string) {
	g.t.Helper()
	later := g.add()
	g.await("a later syncer has the lifted record", func() bool {
		for _, r := range later.Records() {
			if r.ID == id {
				return r.Status() == quarantine.Clear
			}
		}
		return false
	})
}
