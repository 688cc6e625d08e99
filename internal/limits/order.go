package limits

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	// maxOffered bounds the number of daemons that a report is offered to before it is counted
	// locally. If half of the hosts are unreachable, one of eight is reachable in 255 of 256 cases.
	maxOffered = 8
	// hostsPerCollector is the number of hosts of a data centre that share a collector.
	hostsPerCollector = 32
)

// collectorOrder returns the hosts of the data centre and those of the whole fleet, in the
// order in which this host reports to them. All daemons compute the same order of the fleet; in
// a large data centre each starts at one of several collectors.
func collectorOrder(hosts []fleet.Host, self, dataCentre string) (near, all []fleet.Host) {
	const salt = "customers' limits " // distinguishes the order from other rankings of hosts
	rank := func(name string) uint64 { return xxhash.Sum64String(salt + name) }
	all = slices.Clone(hosts)
	slices.SortFunc(all, func(a, b fleet.Host) int { return cmp.Compare(rank(a.Name), rank(b.Name)) })
	for _, h := range all {
		if h.DataCentre == dataCentre {
			near = append(near, h)
		}
	}
	collectors := (len(near) + hostsPerCollector - 1) / hostsPerCollector
	near = near[:min(max(maxOffered, collectors), len(near))]
	if collectors > 1 {
		first := rank(self) % uint64(collectors)
		near = slices.Concat(near[first:], near[:first])
	}
	return near, all[:min(maxOffered, len(all))]
}
