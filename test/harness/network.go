package harness

import (
	"fmt"
	"os"
	"sync/atomic"
)

var fleets atomic.Uint32

// network is the range of loopback addresses of one fleet: 127.a.b.host, with a and b derived
// from the process id and the fleet's number. Two processes may derive the same range.
type network struct{ a, b int }

func newNetwork() network {
	number := int(fleets.Add(1))
	seed := os.Getpid()*8 + number
	return network{a: 1 + seed/250%250, b: 1 + seed%250}
}

func (n network) address(host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.a, n.b, host+1, port)
}
