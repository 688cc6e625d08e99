package member_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/member"
)

func newTable(name, start string) *member.Table {
	return member.NewTable(member.Host{Name: name, DataCentre: "csepel", Start: start})
}

// syncTables sends the records by which two tables differ from one to the other.
func syncTables(from, to *member.Table) { to.Merge(from.Diff(to.Digest())) }

func TestMergeKeepsNewerRecord(t *testing.T) {
	table := newTable("a", "1")
	b := member.Host{Name: "b", Start: "1", Incarnation: 2, Version: 5}
	older := member.Host{Name: "b", Start: "0", Incarnation: 1, Version: 9}
	gone := b
	gone.Gone = true
	steps := []struct {
		name     string
		received member.Host
		updates  bool
	}{
		{"a host not known", b, true},
		{"the same again", b, false},
		{"an earlier incarnation", older, false},
		{"a report that it is gone", gone, true},
		{"the same version, not gone", b, false},
		{"its refutation", member.Host{Name: "b", Start: "1", Incarnation: 3, Version: 1}, true},
	}
	for _, step := range steps {
		if updates := table.Merge([]member.Host{step.received}); (len(updates) > 0) != step.updates {
			t.Fatalf("%s: updates %t, want %t", step.name, len(updates) > 0, step.updates)
		}
	}
}

// TestRestartTakesHigherIncarnation guards against a restarted daemon whose records
// lose against those of its earlier start, at any version of either.
func TestRestartTakesHigherIncarnation(t *testing.T) {
	for changes := range 4 {
		peer := newTable("peer", "p")
		before := newTable("a", "old")
		for range 2 {
			before.SetServers([]member.Server{{Name: "i-old"}}, nil)
		}
		syncTables(before, peer)
		after := newTable("a", "new")
		for range changes {
			after.SetServers(nil, nil)
		}
		syncTables(peer, after)
		syncTables(after, peer)
		got, _ := peer.Host("a")
		if got.Start != "new" || len(got.Servers) != 0 {
			t.Fatalf("after %d changes the peer has the record %+v", changes, got)
		}
	}
}

func TestLiveHostRefutesGone(t *testing.T) {
	a, b := newTable("a", "1"), newTable("b", "1")
	syncTables(a, b)
	known, _ := b.Host("a")
	if _, ok := b.SetGone("a", known.Incarnation, known.Version+1); ok {
		t.Fatal("an unknown version was marked gone")
	}
	if _, ok := b.SetGone("a", known.Incarnation, known.Version); !ok {
		t.Fatal("an unresponsive host was not marked gone")
	}
	syncTables(b, a)
	syncTables(a, b)
	if got, _ := b.Host("a"); got.Gone {
		t.Fatal("a live host is still marked gone")
	}
}

// TestTablesAgree checks that tables converge to each host's own record after
// random changes, restarts, reports of gone hosts and exchanges.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		tables := make(map[string]*member.Table)
		starts := 0
		start := func(name string) {
			starts++
			tables[name] = newTable(name, fmt.Sprint(starts))
		}
		for _, name := range names {
			start(name)
		}
		name := rapid.SampledFrom(names)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				server := member.Server{Name: fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "server"))}
				tables[name.Draw(t, "name")].SetServers([]member.Server{server}, nil)
			},
			"start anew": func(t *rapid.T) { start(name.Draw(t, "name")) },
			"tell":       func(t *rapid.T) { syncTables(tables[name.Draw(t, "from")], tables[name.Draw(t, "to")]) },
			"gone": func(t *rapid.T) {
				table := tables[name.Draw(t, "by")]
				if h, ok := table.Host(name.Draw(t, "name")); ok {
					table.SetGone(h.Name, h.Incarnation, h.Version)
				}
			},
			"": func(*rapid.T) {},
		})
		for range 3 {
			for _, from := range names {
				for _, to := range names {
					syncTables(tables[from], tables[to])
				}
			}
		}
		for _, of := range names {
			for _, by := range names {
				if got, _ := tables[by].Host(of); !reflect.DeepEqual(got, tables[of].Self()) {
					t.Fatalf("%s has the record %+v of %s, whose own is %+v", by, got, of, tables[of].Self())
				}
			}
			if tables[of].Sum() != tables["a"].Sum() {
				t.Fatal("equal tables have different sums")
			}
		}
	})
}

// BenchmarkSum measures Sum with 93 hosts.
func BenchmarkSum(b *testing.B) {
	table := member.NewTable(member.Host{Name: "csepel-0"})
	received := make([]member.Host, 0, 92)
	for i := range cap(received) {
		received = append(received, member.Host{Name: fmt.Sprintf("csepel-%d", i+1), Start: "3f2a9c", Incarnation: 1, Version: 2})
	}
	table.Merge(received)
	for b.Loop() {
		table.Sum()
	}
}

// TestExchangeCostsLittleInLargeFleets guards against an exchange of a few differing records whose size
// grows with the fleet.
func TestExchangeCostsLittleInLargeFleets(t *testing.T) {
	const differing = 2
	cost := make(map[int]int)
	for _, count := range []int{100, 1000, 4600} {
		a, b := newTable("a", "1"), newTable("b", "1")
		for n := range count {
			h := member.Host{Name: fmt.Sprintf("host-%d", n), Start: "1", Incarnation: 1, Version: 1}
			a.Merge([]member.Host{h})
			if n < differing {
				h.Version++
			}
			b.Merge([]member.Host{h})
		}
		a.Merge([]member.Host{b.Self()})
		b.Merge([]member.Host{a.Self()})
		const recordSize = 300 // bytes of a record as text, before compression
		cost[count] = len(a.Digest()) + len(b.Diff(a.Digest()))*recordSize
	}
	if cost[1000] > 4*cost[100] || cost[4600] > 10*cost[100] {
		t.Errorf("bytes of an exchange by hosts: %v; want a growth with the square root of the hosts", cost)
	}
}
