package quarantine_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/quarantine"
)

// FuzzRecord guards against records of arbitrary content, from another daemon or the store, that make lookups panic
// or that an operator cannot clear.
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
		var received quarantine.Record
		if json.Unmarshal(data, &received) != nil || received.ID == "" {
			return
		}
		table := quarantine.New()
		end(table, received.ID, quarantine.Limit)
		table.Merge([]quarantine.Record{received, received})
		view := table.View()
		_ = view.Sum()
		_ = view.TrialDue(start, received.ID)
		if view.Status(received.ID) != quarantine.Clear {
			if _, ok := table.Lift(start, received.ID); !ok {
				t.Fatal("an operator cannot clear the request")
			}
		}
		if got := table.View().Status(received.ID); got != quarantine.Clear {
			t.Fatalf("status after the lift is %s", got)
		}
		table.Prune(start.Add(time.Hour))
	})
}
