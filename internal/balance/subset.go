package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SubsetSize is the number of backend servers of the own data centre that requests are sent to while
// these have free slots. In a large service each daemon would otherwise open a connection for nearly
// each request, and keep one to each backend server.
const SubsetSize = 24

// subsetOf returns the targets that the daemon prefers, or nil if there are so few that it uses all.
// Each daemon prefers the targets whose names have the highest hashes together with its own name
// (rendezvous hashing), so that each target is preferred by about as many daemons as any other, and
// an added or removed target changes few subsets.
func subsetOf(targets []*Target) []*Target {
	if len(targets) <= SubsetSize {
		return nil
	}
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b *Target) int { return cmp.Compare(b.affinity, a.affinity) })
	return slices.Clone(sorted[:SubsetSize])
}

// affinity returns the rank of a backend server among those that the host prefers.
func affinity(host, backendServer string) uint64 {
	return xxhash.Sum64String(host + "\n" + backendServer)
}
