package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/quarantine"
)

var start = time.UnixMilli(1_700_000_000_000)

func sighting(id string) quarantine.Request {
	return quarantine.Request{ID: id, HeadHash: uint64(len(id)), Service: "lookup", Method: "GET", Host: "a.example", Path: "/x"}
}

// end records the ends of count backend servers while running the request, a second apart, and returns the time of
// the last.
func end(t *quarantine.Table, id string, count int) time.Time {
	now := start
	for n := range count {
		now = start.Add(time.Duration(n) * time.Second)
		t.RecordEnd(now, sighting(id), quarantine.End{Server: fmt.Sprintf("%s-server-%d", id, n), At: now.UnixMilli()})
	}
	return now
}

// TestStatus guards against a request that is quarantined too early, too late or not cleared.
func TestStatus(t *testing.T) {
	tests := []struct {
		name string
		do   func(*quarantine.Table)
		want quarantine.Status
	}{
		{"nothing is known", func(*quarantine.Table) {}, quarantine.Clear},
		{"one has ended", func(t *quarantine.Table) { end(t, "a", 1) }, quarantine.Suspected},
		{"all but one", func(t *quarantine.Table) { end(t, "a", quarantine.Limit-1) }, quarantine.Suspected},
		{"enough", func(t *quarantine.Table) { end(t, "a", quarantine.Limit) }, quarantine.Quarantined},
		{"one end is reported often", func(t *quarantine.Table) {
			for range 2 * quarantine.Limit {
				t.RecordEnd(start, sighting("a"), quarantine.End{Server: "server"})
			}
		}, quarantine.Suspected},
		{"one ends again and again, under the same name", func(t *quarantine.Table) {
			for n := range quarantine.Limit {
				t.RecordEnd(start, sighting("a"), quarantine.End{Server: "server", At: int64(n)})
			}
		}, quarantine.Quarantined},
		{"an answer in between", func(t *quarantine.Table) {
			end(t, "a", quarantine.Limit-1)
			t.RecordAnswer(start, "a")
			t.RecordEnd(start, sighting("a"), quarantine.End{Server: "another"})
		}, quarantine.Suspected},
		{"an answer after all", func(t *quarantine.Table) {
			end(t, "a", quarantine.Limit)
			t.RecordAnswer(start, "a")
		}, quarantine.Clear},
		{"cleared by an operator", func(t *quarantine.Table) {
			end(t, "a", quarantine.Limit)
			t.Lift(start, "a")
		}, quarantine.Clear},
		{"others", func(t *quarantine.Table) { end(t, "bb", quarantine.Limit) }, quarantine.Clear},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := quarantine.New()
			test.do(table)
			if got := table.View().Status("a"); got != test.want {
				t.Fatalf("%s, want %s", got, test.want)
			}
		})
	}
}

// TestALateReportOfAnEarlierEndChangesNothing guards against a report of an end from before an answer that reinstates
// the quarantine.
func TestALateReportOfAnEarlierEndChangesNothing(t *testing.T) {
	here, there := quarantine.New(), quarantine.New()
	end(here, "a", quarantine.Limit)
	late := here.Records()
	cleared, _ := here.RecordAnswer(start, "a")
	there.Merge([]quarantine.Record{cleared})
	if updates := there.Merge(late); len(updates) > 0 || there.View().Status("a") != quarantine.Clear {
		t.Fatalf("updates %v, status %s", updates, there.View().Status("a"))
	}
}

// TestTrialRunsOnceAfterDelay guards against a trial that starts immediately after the last end, or twice.
func TestTrialRunsOnceAfterDelay(t *testing.T) {
	table := quarantine.New()
	last := end(table, "a", quarantine.Limit)
	if _, ok := table.ProposeTrial(last, "a", "host-1"); ok || table.View().TrialDue(last, "a") {
		t.Fatal("the trial is due immediately after the last end")
	}
	later := last.Add(quarantine.TrialDelay)
	record, ok := table.ProposeTrial(later, "a", "host-1")
	if !ok || !table.View().TrialDue(later, "a") {
		t.Fatal("the trial is not due after the delay")
	}
	table.Merge([]quarantine.Record{record})
	if _, ok := table.ProposeTrial(later, "a", "host-2"); ok || table.View().TrialDue(later, "a") {
		t.Fatal("the trial is due twice")
	}
	if table.View().Status("a") != quarantine.Quarantined {
		t.Fatal("the trial lifted the quarantine")
	}
}

// TestSuspectsAreForgottenAndQuarantinesAreNot guards against a quarantine that expires, and a suspected request that
// does not.
func TestSuspectsAreForgottenAndQuarantinesAreNot(t *testing.T) {
	table := quarantine.New()
	end(table, "a", quarantine.Limit)
	end(table, "bb", 1)
	if expired, evicted := table.Prune(start.Add(quarantine.SuspectTTL / 2)); len(expired)+len(evicted) > 0 {
		t.Fatal("a record expired early")
	}
	table.Prune(start.Add(2 * quarantine.SuspectTTL))
	if records := table.Records(); len(records) != 1 || records[0].ID != "a" {
		t.Fatalf("got records %v, want only the quarantined request", records)
	}
}

// TestAQuarantineThatHasEndedDoesNotComeBack guards against a lifted quarantine that is reinstated by a daemon that was
// partitioned for hours.
func TestAQuarantineThatHasEndedDoesNotComeBack(t *testing.T) {
	cutOff, others := quarantine.New(), quarantine.New()
	last := end(cutOff, "a", quarantine.Limit)
	others.Merge(cutOff.Records())
	others.Lift(last, "a")
	back := last.Add(quarantine.ClearedTTL / 2)
	others.Prune(back)
	if updates := others.Merge(cutOff.Records()); len(updates) > 0 || others.View().Status("a") != quarantine.Clear {
		t.Fatalf("the lifted quarantine is back: %+v", updates)
	}
	if cutOff.Merge(others.Records()); cutOff.View().Status("a") != quarantine.Clear {
		t.Fatal("the daemon that was partitioned keeps the quarantine")
	}
	if expired, _ := others.Prune(last.Add(2 * quarantine.ClearedTTL)); len(expired) != 1 {
		t.Fatalf("expired records: %v, want one", expired)
	}
}

// TestDaemonsThatKnowTheSameHaveTheSameSum guards against daemons that do not detect that their quarantines differ.
func TestDaemonsThatKnowTheSameHaveTheSameSum(t *testing.T) {
	here, there := quarantine.New(), quarantine.New()
	end(here, "a", quarantine.Limit)
	end(here, "bb", 1) // suspected requests are not part of the sum
	if here.View().Sum() == there.View().Sum() {
		t.Fatal("the sum does not depend on a quarantine")
	}
	there.Merge(here.View().Quarantines())
	if here.View().Sum() != there.View().Sum() {
		t.Fatal("the sums of equal quarantines differ")
	}
	there.Lift(start, "a")
	if here.View().Sum() == there.View().Sum() {
		t.Fatal("the sum does not depend on the lift of a quarantine")
	}
}

// TestAFloodOfSuspectsKeepsQuarantines guards against a table without a bound, and against suspected requests that
// evict a quarantine.
func TestAFloodOfSuspectsKeepsQuarantines(t *testing.T) {
	table := quarantine.New()
	end(table, "a", quarantine.Limit)
	for n := range 10_000 {
		table.RecordEnd(start.Add(time.Duration(n)*time.Millisecond), sighting(fmt.Sprintf("flood-%d", n)), quarantine.End{Server: "server"})
	}
	if expired, evicted := table.Prune(start); len(expired) > 0 || len(evicted) < 5000 {
		t.Fatalf("%d records expired, %d were evicted", len(expired), len(evicted))
	}
	if count := len(table.Records()); count > 5000 {
		t.Fatalf("%d records are kept", count)
	}
	if table.View().Status("a") != quarantine.Quarantined {
		t.Fatal("the quarantine was evicted")
	}
}

// drawRecord draws a record as another daemon may send it.
func drawRecord(t *rapid.T, name string) quarantine.Record {
	r := quarantine.Record{
		ID: "a", HeadHash: 1, Service: rapid.SampledFrom([]string{"lookup", "records"}).Draw(t, name+" service"),
		Epoch:           rapid.Int64Range(0, 2).Draw(t, name+" epoch"),
		TrialHost:       rapid.SampledFrom([]string{"", "host-1", "host-2"}).Draw(t, name+" tried"),
		Trials:          rapid.Int64Range(0, 3).Draw(t, name+" trials"),
		NotRun:          rapid.Int64Range(0, 3).Draw(t, name+" not run"),
		EverQuarantined: rapid.Bool().Draw(t, name+" held"),
		Cleared:         rapid.SampledFrom([]quarantine.ClearedBy{"", quarantine.ClearedByAnswer, quarantine.ClearedByOperator}).Draw(t, name+" cleared"),
		Changed:         rapid.Int64Range(0, 9).Draw(t, name+" changed"),
	}
	ends := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.End {
		return quarantine.End{Server: rapid.SampledFrom([]string{"p", "q", "r", "s", "u"}).Draw(t, "server"), At: rapid.Int64Range(0, 9).Draw(t, "at")}
	}), 0, quarantine.Limit).Draw(t, name+" ends")
	return quarantine.Merge(quarantine.Merge(r, quarantine.Record{ID: "a", Epoch: r.Epoch, Ends: ends}), r)
}

// TestRecordsMergeInAnyOrder guards against a merge that is not idempotent, commutative and associative, so that
// daemons diverge.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		merge := quarantine.Merge
		same := func(property string, x, y quarantine.Record) {
			if !x.Same(y) || x.Service != y.Service {
				t.Fatalf("%s: %+v and %+v", property, x, y)
			}
		}
		same("idempotence", merge(a, a), a)
		same("commutativity", merge(a, b), merge(b, a))
		same("associativity", merge(merge(a, b), c), merge(a, merge(b, c)))
	})
}
