package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/fleet"
)

// newLargePool returns the pool of a host, of a service with that many targets in its data centre
// and as many in another.
func newLargePool(host string, count int) *balance.Pool {
	service := fleet.Service{Name: "lookup"}
	for i := range 2 * count {
		at := "csepel-1"
		if i >= count {
			at = "obuda-1"
		}
		service.BackendServers = append(service.BackendServers, fleet.BackendServer{Name: fmt.Sprintf("s%d", i), Host: at, Slots: 10})
	}
	index := fleet.NewIndex(fleet.Declaration{
		Hosts:    []fleet.Host{{Name: "csepel-1", DataCentre: "csepel"}, {Name: "obuda-1", DataCentre: "obuda"}},
		Services: []fleet.Service{service},
	})
	random := rand.New(rand.NewPCG(1, 2))
	pool := balance.NewPool(balance.Config{Host: host, DataCentre: "csepel", Random: random.Uint64, Start: start})
	pool.Reconfigure(service, index)
	return pool
}

// TestRequestsKeepToAFewTargets guards against a daemon that sends requests, and so keeps
// connections, to more backend servers the larger the service is.
func TestRequestsKeepToAFewTargets(t *testing.T) {
	for _, count := range []int{10, 24, 148, 740, 1500} {
		used := len(picks(newLargePool("host-1", count), start, 20*count))
		if want := min(count, balance.SubsetSize); used != want {
			t.Errorf("%d backend servers: requests went to %d, want %d", count, used, want)
		}
	}
}

// TestSubsetsShareTheLoad guards against backend servers that few daemons prefer, or too many.
func TestSubsetsShareTheLoad(t *testing.T) {
	const hosts, targets = 200, 148
	preferredBy := make(map[string]int)
	for host := range hosts {
		for name := range picks(newLargePool(fmt.Sprintf("host-%d", host), targets), start, 400) {
			preferredBy[name]++
		}
	}
	mean := hosts * balance.SubsetSize / targets
	for i := range targets {
		name := fmt.Sprintf("s%d", i)
		if by := preferredBy[name]; by < mean/2 || by > 2*mean {
			t.Errorf("%s is preferred by %d of %d daemons, want about %d", name, by, hosts, mean)
		}
	}
}

// TestBusySubsetIsLeft guards against requests that wait for a backend server of the subset, or get
// none, while others have free slots.
func TestBusySubsetIsLeft(t *testing.T) {
	now := start.Add(time.Minute)
	for name, leave := range map[string]func(*balance.Pool, *balance.Target){
		"busy":   func(p *balance.Pool, target *balance.Target) { p.RecordLoad(target, 1, now) },
		"paused": func(p *balance.Pool, target *balance.Target) { p.Pause(target, now.Add(time.Second)) },
	} {
		pool := newLargePool("host-1", 100)
		subset := picks(pool, now, 1000)
		for _, target := range pool.Targets() {
			if subset[target.Name] > 0 {
				leave(pool, target)
			}
		}
		outside := 0
		for target := range picks(pool, now, 1000) {
			if subset[target] == 0 {
				outside++
			}
		}
		if outside < 50 {
			t.Errorf("%s: requests went to %d backend servers outside the subset, want nearly all of the 76 in the data centre", name, outside)
		}
	}
}
