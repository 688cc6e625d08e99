package sidecar

import (
	"fmt"
	"testing"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/floor"
)

// TestEjectionAsksNoMoreInLargerServices guards against an attempt to be ejected, or the leases that
// keep a backend server ejected, costing more calls in a larger service.
func TestEjectionAsksNoMoreInLargerServices(t *testing.T) {
	for _, servers := range []int{100, 300, 740, 1500} {
		service := fleet.Service{Name: "lookup", FloorShare: 0.7, Floor: (servers*7 + 9) / 10}
		hosts := make([]fleet.Host, 0, servers)
		for n := range servers {
			host := fmt.Sprintf("host-%d", n)
			hosts = append(hosts, fleet.Host{Name: host, DataCentre: "dc"})
			service.BackendServers = append(service.BackendServers, fleet.BackendServer{Name: fmt.Sprintf("i-%d", n), Host: host, Slots: 6})
		}
		index := fleet.NewIndex(fleet.Declaration{Hosts: hosts, Services: []fleet.Service{service}})
		placement, _ := index.BackendServer("i-7")
		d := newDeclared(placement, index)
		if asked := len(d.others); asked >= 2*floor.MaxGroupSize || d.floor > asked+1 {
			t.Errorf("%d backend servers: %d are asked for a lease, %d leases are needed", servers, asked, d.floor)
		}
	}
}
