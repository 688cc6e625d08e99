package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newPool returns a pool of the data centre csepel with own targets there and
// other targets in obuda.
func newPool(tb testing.TB, own, other int) *balance.Pool {
	tb.Helper()
	service := fleet.Service{Name: "lookup"}
	for i := range own + other {
		host := "csepel-1"
		if i >= own {
			host = "obuda-1"
		}
		service.BackendServers = append(service.BackendServers, fleet.BackendServer{Name: fmt.Sprintf("s%d", i), Host: host, Slots: 10})
	}
	index := fleet.NewIndex(fleet.Declaration{
		Hosts:    []fleet.Host{{Name: "csepel-1", DataCentre: "csepel"}, {Name: "obuda-1", DataCentre: "obuda"}},
		Services: []fleet.Service{service},
	})
	random := rand.New(rand.NewPCG(1, 2))
	pool := balance.NewPool(balance.Config{DataCentre: "csepel", Random: random.Uint64, Start: start})
	pool.Reconfigure(service, index)
	return pool
}

// picks counts how often each target is chosen.
func picks(p *balance.Pool, now time.Time, times int) map[string]int {
	counts := make(map[string]int)
	for range times {
		if target, ok := p.Pick(now, nil); ok {
			counts[target.Name]++
		}
	}
	return counts
}

func TestPick(t *testing.T) {
	later := start.Add(time.Minute)
	tests := []struct {
		name    string
		prepare func(*balance.Pool)
		want    func(map[string]int) bool
	}{
		{
			"own data centre first", func(*balance.Pool) {},
			func(c map[string]int) bool { return c["s0"] > 300 && c["s1"] > 300 && c["s2"] == 0 },
		},
		{
			"the less loaded of two", func(p *balance.Pool) { p.RecordLoad(p.Targets()[0], 0.9, later) },
			func(c map[string]int) bool { return c["s0"] == 0 },
		},
		{
			"a load reported long ago does not count", func(p *balance.Pool) { p.RecordLoad(p.Targets()[0], 1, later.Add(-2*time.Second)) },
			func(c map[string]int) bool { return c["s0"] > 300 },
		},
		{
			"spill-over when the own are full", func(p *balance.Pool) {
				p.RecordLoad(p.Targets()[0], 2, later)
				p.RecordLoad(p.Targets()[1], 2, later)
			},
			func(c map[string]int) bool { return c["s2"] == 1000 },
		},
		{
			"no spill-over to one as full", func(p *balance.Pool) {
				for _, target := range p.Targets() {
					p.RecordLoad(target, 1.2, later)
				}
			},
			func(c map[string]int) bool { return c["s2"] == 0 },
		},
		{
			"paused", func(p *balance.Pool) { p.Pause(p.Targets()[0], later.Add(time.Second)) },
			func(c map[string]int) bool { return c["s0"] == 0 && c["s1"] == 1000 },
		},
		{
			"no longer paused", func(p *balance.Pool) { p.Pause(p.Targets()[0], later) },
			func(c map[string]int) bool { return c["s0"] > 300 },
		},
		{
			"a reduced share", func(p *balance.Pool) { p.Targets()[0].SetShare(balance.FullShare / 8) },
			func(c map[string]int) bool { return c["s0"] > 20 && c["s0"] < 250 },
		},
		{
			"a share of nothing while others have one", func(p *balance.Pool) { p.Targets()[0].SetShare(0) },
			func(c map[string]int) bool { return c["s0"] == 0 },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pool := newPool(t, 2, 1)
			test.prepare(pool)
			if counts := picks(pool, later, 1000); !test.want(counts) {
				t.Fatalf("chosen: %v", counts)
			}
		})
	}
}

func TestPickNeverTakesOneTried(t *testing.T) {
	pool := newPool(t, 2, 1)
	tried := []*balance.Target{pool.Targets()[0], pool.Targets()[1]}
	for range 100 {
		if target, ok := pool.Pick(start, tried); !ok || target.Name != "s2" {
			t.Fatalf("chosen: %+v, %t", target, ok)
		}
	}
	if target, ok := pool.Pick(start, pool.Targets()); ok {
		t.Fatalf("chosen although all were tried: %s", target.Name)
	}
}

func TestPickTrialOnce(t *testing.T) {
	pool := newPool(t, 2, 0)
	pool.Targets()[1].OpenProbation()
	if target, ok := pool.PickProbation(start); !ok || target.Name != "s1" {
		t.Fatal("the target on trial was not chosen")
	}
	if _, ok := pool.PickProbation(start); ok {
		t.Fatal("a second request was sent to a target on trial")
	}
}

// BenchmarkPick measures the choice among 43 targets, the mean of a service in a fleet of the size to design for.
func BenchmarkPick(b *testing.B) {
	pool := newPool(b, 9, 34)
	now := start.Add(time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := pool.Pick(now, nil); !ok {
			b.Fatal("nothing chosen")
		}
	}
}
