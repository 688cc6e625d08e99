package quarantine_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/quarantine"
)

// TestCheckRefusesWhatNoDaemonWrites guards against records of another writer that no later epoch replaces, that never
// expire, or whose trial is never due.
func TestCheckRefusesWhatNoDaemonWrites(t *testing.T) {
	now := time.Now()
	valid := func() quarantine.Record {
		return quarantine.Record{ID: "id", Service: "lookup", Epoch: 2, Changed: now.UnixMilli(), Ends: []quarantine.End{{Server: "i-1", At: now.UnixMilli()}}}
	}
	if err := valid().Check(now); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*quarantine.Record){
		"no request":              func(r *quarantine.Record) { r.ID = "" },
		"a long path":             func(r *quarantine.Record) { r.Path = strings.Repeat("x", 500_000) },
		"the greatest epoch":      func(r *quarantine.Record) { r.Epoch = math.MaxInt64 },
		"a negative epoch":        func(r *quarantine.Record) { r.Epoch = -1 },
		"cleared for ever":        func(r *quarantine.Record) { r.ClearedUntil = math.MaxInt64 },
		"changed in the future":   func(r *quarantine.Record) { r.Changed = now.Add(24 * time.Hour).UnixMilli() },
		"an end in the future":    func(r *quarantine.Record) { r.Ends[0].At = math.MaxInt64 },
		"a long name of a server": func(r *quarantine.Record) { r.Ends[0].Server = strings.Repeat("x", 500_000) },
		"many ends":               func(r *quarantine.Record) { r.Ends = make([]quarantine.End, 100_000) },
	} {
		r := valid()
		if change(&r); r.Check(now) == nil {
			t.Errorf("%s: the record is taken", name)
		}
	}
}
