package daemon

import (
	"golang.org/x/sys/unix"

	"github.com/tideliftd/tidelift/internal/guard"
	"github.com/tideliftd/tidelift/internal/serve"
	"github.com/tideliftd/tidelift/internal/settings"
)

const (
	megabyte = 1_000_000
	// memoryDefault is the memory, in MB, that bounds what connections take if the settings do not name it.
	memoryDefault = 1024
	// maxDescriptors bounds what the process may open, which is unlimited on some hosts.
	maxDescriptors = 1 << 16
	// minConnections is the least number of connections of a listener, and minMemory the least memory for them, in bytes.
	minConnections = 16
	minMemory      = 4 * megabyte
)

// The shares of the daemon's memory: a quarter is for bodies, and the rest for all else and for the heap's growth between
// collections.
const (
	bodyShare    = 4
	callersShare = 4
	peersShare   = 8
	localShare   = 32
)

// The shares of the descriptors, in parts of descriptorParts.
const (
	descriptorParts = 64
	callersParts    = 24
	peersParts      = 16
	localParts      = 1
)

// boundsOf returns the bounds of the listeners. What they leave of the descriptors is for connections to backend servers, other
// daemons and the store.
func boundsOf(limits settings.Limits) serve.Bounds {
	memory := int64(limits.MemoryMB) * megabyte
	if memory == 0 {
		memory = memoryDefault * megabyte
	}
	descriptors := limits.Descriptors
	if descriptors == 0 {
		descriptors = openable()
	}
	return serve.Bounds{
		Callers: boundsFor(descriptors*callersParts/descriptorParts, memory/callersShare),
		Peers:   boundsFor(descriptors*peersParts/descriptorParts, memory/peersShare),
		Local:   boundsFor(descriptors*localParts/descriptorParts, memory/localShare),
	}
}

func boundsFor(connections int, memory int64) guard.Config {
	return guard.Config{Connections: max(minConnections, connections), Memory: max(minMemory, memory)}
}

// openable returns how many descriptors the process may open.
func openable() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}
