package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/quarantine"
)

var start = time.UnixMilli(1_700_000_000_000)

// sighting returns a request that a backend server ran when it ended.
func sighting(id string) quarantine.Request {
	return quarantine.Request{ID: id, HeadHash: uint64(len(id)), Service: "lookup", Method: "GET", Host: "a.example", Path: "/x"}
}

// end ends so many backend servers under the request, a second apart.
func end(t *quarantine.Table, id string, count int) time.Time {
	now := start
	for n := range count {
		now = start.Add(time.Duration(n) * time.Second)
		t.RecordEnd(now, sighting(id), quarantine.End{Server: fmt.Sprintf("%s-server-%d", id, n), At: now.UnixMilli()})
	}
	return now
}

// TestStandings ends backend servers under a request one after the other.
func TestStandings(t *testing.T) {
	tests := []struct {
		name string
		do   func(*quarantine.Table)
		want quarantine.Status
	}{
		{"nothing is known", func(*quarantine.Table) {}, quarantine.Clear},
		{"one has ended", func(t *quarantine.Table) { end(t, "a", 1) }, quarantine.Suspected},
		{"all but one", func(t *quarantine.Table) { end(t, "a", quarantine.Limit-1) }, quarantine.Suspected},
		{"enough", func(t *quarantine.Table) { end(t, "a", quarantine.Limit) }, quarantine.Quarantined},
		{"one is told of often", func(t *quarantine.Table) {
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
		{"an operator's word", func(t *quarantine.Table) {
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

// TestALateReportOfAnEarlierEndChangesNothing tells an end after an answer that came after it.
func TestALateReportOfAnEarlierEndChangesNothing(t *testing.T) {
	here, there := quarantine.New(), quarantine.New()
	end(here, "a", quarantine.Limit)
	late := here.Records()
	cleared, _ := here.RecordAnswer(start, "a")
	there.Merge([]quarantine.Record{cleared})
	if updates := there.Merge(late); len(updates) > 0 || there.View().Status("a") != quarantine.Clear {
		t.Fatalf("%v, %s", updates, there.View().Status("a"))
	}
}

// TestATrialIsOnceAndNotAtOnce asks for it at once, later, and again.
func TestATrialIsOnceAndNotAtOnce(t *testing.T) {
	table := quarantine.New()
	last := end(table, "a", quarantine.Limit)
	if _, ok := table.ProposeTrial(last, "a", "host-1"); ok || table.View().TrialDue(last, "a") {
		t.Fatal("it may be tried at once")
	}
	later := last.Add(quarantine.TrialDelay)
	record, ok := table.ProposeTrial(later, "a", "host-1")
	if !ok || !table.View().TrialDue(later, "a") {
		t.Fatal("it may not be tried later")
	}
	table.Merge([]quarantine.Record{record})
	if _, ok := table.ProposeTrial(later, "a", "host-2"); ok || table.View().TrialDue(later, "a") {
		t.Fatal("it may be tried twice")
	}
	if table.View().Status("a") != quarantine.Quarantined {
		t.Fatal("a trial is no answer")
	}
}

// TestSuspectsAreForgottenAndQuarantinesAreNot waits.
func TestSuspectsAreForgottenAndQuarantinesAreNot(t *testing.T) {
	table := quarantine.New()
	end(table, "a", quarantine.Limit)
	end(table, "bb", 1)
	if lapsed, dropped := table.Prune(start.Add(quarantine.SuspectTTL / 2)); len(lapsed)+len(dropped) > 0 {
		t.Fatal("something was forgotten early")
	}
	table.Prune(start.Add(2 * quarantine.SuspectTTL))
	if records := table.Records(); len(records) != 1 || records[0].ID != "a" {
		t.Fatalf("left are %v", records)
	}
}

// TestAQuarantineThatHasEndedDoesNotComeBack hears of it hours after it was lifted, from a daemon that was cut
// off meanwhile.
func TestAQuarantineThatHasEndedDoesNotComeBack(t *testing.T) {
	cutOff, others := quarantine.New(), quarantine.New()
	last := end(cutOff, "a", quarantine.Limit)
	others.Merge(cutOff.Records())
	others.Lift(last, "a")
	back := last.Add(quarantine.ClearedTTL / 2)
	others.Prune(back)
	if updates := others.Merge(cutOff.Records()); len(updates) > 0 || others.View().Status("a") != quarantine.Clear {
		t.Fatalf("it is back: %+v", updates)
	}
	if cutOff.Merge(others.Records()); cutOff.View().Status("a") != quarantine.Clear {
		t.Fatal("the daemon that was cut off keeps it")
	}
	if lapsed, _ := others.Prune(last.Add(2 * quarantine.ClearedTTL)); len(lapsed) != 1 {
		t.Fatalf("forgotten are %v", lapsed)
	}
}

// TestDaemonsThatKnowTheSameHaveTheSameSum changes what one of them knows.
func TestDaemonsThatKnowTheSameHaveTheSameSum(t *testing.T) {
	here, there := quarantine.New(), quarantine.New()
	end(here, "a", quarantine.Limit)
	end(here, "bb", 1) // suspects are the service's matter
	if here.View().Sum() == there.View().Sum() {
		t.Fatal("a quarantine makes no difference")
	}
	there.Merge(here.View().Quarantines())
	if here.View().Sum() != there.View().Sum() {
		t.Fatal("they know the same")
	}
	there.Lift(start, "a")
	if here.View().Sum() == there.View().Sum() {
		t.Fatal("its end makes no difference")
	}
}

// TestAFloodOfSuspectsKeepsQuarantines fills the table.
func TestAFloodOfSuspectsKeepsQuarantines(t *testing.T) {
	table := quarantine.New()
	end(table, "a", quarantine.Limit)
	for n := range 10_000 {
		table.RecordEnd(start.Add(time.Duration(n)*time.Millisecond), sighting(fmt.Sprintf("flood-%d", n)), quarantine.End{Server: "server"})
	}
	if lapsed, dropped := table.Prune(start); len(lapsed) > 0 || len(dropped) < 5000 {
		t.Fatalf("%d records have lapsed, %d were dropped for being too many", len(lapsed), len(dropped))
	}
	if count := len(table.Records()); count > 5000 {
		t.Fatalf("%d records are kept", count)
	}
	if table.View().Status("a") != quarantine.Quarantined {
		t.Fatal("the quarantine is forgotten")
	}
}

// drawRecord returns a record as a daemon may tell it.
func drawRecord(t *rapid.T, name string) quarantine.Record {
	r := quarantine.Record{
		ID: "a", HeadHash: 1, Service: rapid.SampledFrom([]string{"lookup", "records"}).Draw(t, name+" service"),
		Epoch:           rapid.Int64Range(0, 2).Draw(t, name+" epoch"),
		TrialHost:       rapid.SampledFrom([]string{"", "host-1", "host-2"}).Draw(t, name+" tried"),
		EverQuarantined: rapid.Bool().Draw(t, name+" held"),
		Cleared:         rapid.SampledFrom([]quarantine.ClearedBy{"", quarantine.ClearedByAnswer, quarantine.ClearedByOperator}).Draw(t, name+" cleared"),
		Changed:         rapid.Int64Range(0, 9).Draw(t, name+" changed"),
	}
	ends := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.End {
		return quarantine.End{Server: rapid.SampledFrom([]string{"p", "q", "r", "s", "u"}).Draw(t, "server"), At: rapid.Int64Range(0, 9).Draw(t, "at")}
	}), 0, quarantine.Limit).Draw(t, name+" ends")
	return quarantine.Merge(quarantine.Merge(r, quarantine.Record{ID: "a", Epoch: r.Epoch, Ends: ends}), r)
}

// TestRecordsMergeInAnyOrder holds records to the laws by which daemons come to believe the same, in
// whatever order, how often and over whom they hear.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t, "a"), drawRecord(t, "b"), drawRecord(t, "c")
		merge := quarantine.Merge
		same := func(law string, x, y quarantine.Record) {
			if !x.Same(y) || x.Service != y.Service {
				t.Fatalf("%s: %+v and %+v", law, x, y)
			}
		}
		same("itself", merge(a, a), a)
		same("order", merge(a, b), merge(b, a))
		same("grouping", merge(merge(a, b), c), merge(a, merge(b, c)))
	})
}
