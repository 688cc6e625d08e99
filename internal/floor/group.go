package floor

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// MaxGroupSize is the mean size above which the groups of a service are halved. A backend server
// requests leases only within its group, so that an ejection costs no more calls in a larger
// service.
const MaxGroupSize = 40

// GroupCount returns the number of groups of a service with that many backend servers, a power of
// two.
//
// Group numbers are prefixes of the hash of a backend server's name. If two sidecars know different
// numbers of backend servers and therefore of groups, each smaller group lies within a larger one,
// and the sum of the floors that they keep is still the floor of the larger one.
func GroupCount(servers int) int {
	count := 1
	for servers > count*MaxGroupSize {
		count *= 2
	}
	return count
}

// GroupOf returns the number of the backend server's group, from 0 to groups-1. The number of groups
// must be a power of two.
func GroupOf(name string, groups int) int {
	const hashBits = 64
	prefix := bits.TrailingZeros(uint(groups))
	return int(xxhash.Sum64String(name) >> (hashBits - prefix)) //nolint:gosec // less than groups
}

// GroupFloor returns the floor of a group with that many of the service's backend servers: its part
// of the service's floor, rounded up, so that the floors of all groups add up to at least that of
// the service.
func GroupFloor(floor, servers, groupSize int) int {
	if servers == 0 {
		return floor
	}
	return (floor*groupSize + servers - 1) / servers
}
