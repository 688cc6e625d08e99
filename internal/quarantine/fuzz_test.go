package quarantine_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/quarantine"
)

// FuzzRecord takes records of any bytes, as another daemon or the store may tell them: whatever they say, an answer or
// an operator's word clears a request, and lookups hold.
func FuzzRecord(f *testing.F) {
	table := quarantine.New()
	end(table, "a", quarantine.Limit)
	good, _ := json.Marshal(table.Records()[0])
	for _, seed := range []string{
		string(good), `{"id":"a"}`, `{"id":"a","ends":[{"server":"x"},{"server":"x"},{"server":"y"},{"server":"z"},{"server":"u"}],"epoch":9}`,
		`{"id":"a","epoch":9223372036854775807,"held":true}`, `{"id":"a","changed":-9223372036854775808}`, `{"id":7}`, `[]`, `null`, "",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var told quarantine.Record
		if json.Unmarshal(data, &told) != nil || told.ID == "" {
			return
		}
		table := quarantine.New()
		end(table, told.ID, quarantine.Limit)
		table.Merge([]quarantine.Record{told, told})
		view := table.View()
		_ = view.Sum()
		_ = view.TrialDue(start, told.ID)
		if view.Status(told.ID) != quarantine.Clear {
			if _, ok := table.Lift(start, told.ID); !ok {
				t.Fatal("an operator cannot lift it")
			}
		}
		if got := table.View().Status(told.ID); got != quarantine.Clear {
			t.Fatalf("it is %s", got)
		}
		table.Prune(start.Add(time.Hour))
	})
}
