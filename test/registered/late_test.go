package registered

import (
	"math/rand/v2"
	"testing"
	"time"

	fleetapi "github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
)

// inForceWithin is the bound within which a change has to be in force at every daemon that can reach the store.
const inForceWithin = 2 * time.Second

// TestChangeReachesDaemonsWhoseWatchersLostTheStore guards against daemons that rely on watchers of the store that receive nothing.
func TestChangeReachesDaemonsWhoseWatchersLostTheStore(t *testing.T) {
	tests := map[string]time.Duration{
		"changed at once":          0,
		"changed 3 seconds later":  3 * time.Second,
		"changed 12 seconds later": 12 * time.Second,
	}
	for name, changedAfter := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStore(t)
			f.addStoreLinks()
			f.startHosts(8)
			f.stopConcurrently()
			time.Sleep(3 * time.Second) // until the daemons have settled who watches
			var others []*host
			for _, h := range f.hosts {
				if f.watchesStore(h) {
					h.silenceStore()
				} else {
					others = append(others, h)
				}
			}
			time.Sleep(changedAfter)
			f.writeDesired(2, "/changed/")
			f.expectInForce(others, `"event":201,"revision":2,`)
		})
	}
}

// watchesStore reports whether the host's daemon is one of those that always watch the store.
func (f *fleet) watchesStore(h *host) bool {
	hosts := make([]fleetapi.Host, 0, len(f.hosts))
	for _, other := range f.hosts {
		hosts = append(hosts, fleetapi.Host{Name: other.daemonName()})
	}
	return gossip.NewPlan(gossip.Config{Host: h.daemonName(), Random: rand.Uint64}, hosts).IsWatcher()
}

// expectInForce fails the test for each host that does not log the line of the revision within the bound.
func (f *fleet) expectInForce(hosts []*host, line string) {
	f.t.Helper()
	end := time.Now().Add(inForceWithin)
	for _, h := range hosts {
		for !h.log.contains(line) && time.Now().Before(end) {
			time.Sleep(10 * time.Millisecond)
		}
		if !h.log.contains(line) {
			f.t.Errorf("%s: the change is not in force after %s", h.daemonName(), inForceWithin)
		}
	}
}
