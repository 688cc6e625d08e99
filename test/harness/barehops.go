package harness

import (
	"github.com/go-faster/errors"
)

// portBareHop is the port of the first bare hop.
const portBareHop = 7300

// BareHops are two hops that decide nothing, for comparison.
type BareHops struct {
	fleet *Fleet
	hops  [2]process
}

// StartBareHops starts two bare hops before the backend server, the second on
// the address of the backend server's host.
func (f *Fleet) StartBareHops(b *Backend) (*BareHops, func(), error) {
	h := &BareHops{fleet: f}
	second := f.net.address(b.Host.number, portBareHop+1)
	cleanUp := func() {
		h.hops[0].Kill()
		h.hops[1].Kill()
	}
	err := errors.Join(
		h.hops[1].start(f, "barehop-2", "barehop", "-listen", second, "-upstream", b.Work()),
		h.hops[0].start(f, "barehop-1", "barehop", "-listen", h.address(), "-upstream", second),
		WaitListening(second),
		WaitListening(h.address()),
	)
	if err != nil {
		cleanUp()
		return nil, nil, err
	}
	return h, cleanUp, nil
}

func (h *BareHops) address() string { return h.fleet.net.address(0, portBareHop) }

// URL returns the address of the path through both hops.
func (h *BareHops) URL(path string) string { return "http://" + h.address() + path }

// Pids returns the numbers of the hops' processes.
func (h *BareHops) Pids() []int { return []int{h.hops[0].Pid(), h.hops[1].Pid()} }
