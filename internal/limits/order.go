package limits

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tideliftd/tidelift/internal/fleet"
)

const (
	// maxOffered bounds how many daemons a report is offered to, in their order, before it is
	// counted here. Source: with half of the hosts away, one of eight is there in 255 of 256
	// cases.
	maxOffered = 8
	// hostsPerCollector is how many hosts of a data centre share a collector. Source: each
	// reports three times a second while it is asked, and a report takes 0.1 ms of both ends
	// together (BenchmarkReport), so that these take a hundredth of a core.
	hostsPerCollector = 32
)

// collectorOrder returns the hosts of the data centre, and those of the whole fleet, in the
// order in which this one asks them to collect. All daemons work out the same order of the
// fleet; in a large data centre each begins with one of several collectors.
func collectorOrder(hosts []fleet.Host, self, dataCentre string) (near, all []fleet.Host) {
	const salt = "customers' limits " // so that it is not always the same host that does more
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
