package membership

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/member"
)

// TestOnlyRelaysCompareHostsRegularly guards against daemons that each compare their hosts with other
// data centres, and against a data centre that never does because its relays can't.
func TestOnlyRelaysCompareHostsRegularly(t *testing.T) {
	const local = 8
	hosts := make([]fleet.Host, 0, local+1)
	for n := range local {
		hosts = append(hosts, fleet.Host{Name: fmt.Sprintf("csepel-%d", n), DataCentre: "csepel"})
	}
	hosts = append(hosts, fleet.Host{Name: "obuda-0", DataCentre: "obuda"})
	relays, others := 0, 0
	for _, host := range hosts[:local] {
		plan := gossip.NewPlan(gossip.Config{Host: host.Name, DataCentre: "csepel", Random: rand.Uint64}, hosts)
		m := New(Config{
			Self: member.Host{Name: host.Name, DataCentre: "csepel"}, Registers: true, Logger: slog.New(slog.DiscardHandler),
			Plan: func() *gossip.Plan { return plan },
		})
		if m.SumIfDue("csepel") == 0 || m.SumIfDue("") == 0 {
			t.Errorf("%s does not compare hosts within its data centre", host.Name)
		}
		if m.SumIfDue("obuda") != 0 {
			relays++
			continue
		}
		others++
		now := time.Now()
		if m.known.sumIfDueRemotely(now.Add(2*remoteExchangeInterval)) == 0 {
			t.Errorf("%s never compares hosts with other data centres", host.Name)
		}
		if m.known.sumIfDueRemotely(now.Add(2*remoteExchangeInterval+time.Second)) != 0 {
			t.Errorf("%s compares hosts with other data centres twice in a second", host.Name)
		}
	}
	if relays != gossip.RelaysPerDataCentre || others != local-gossip.RelaysPerDataCentre {
		t.Errorf("%d daemons compare hosts with other data centres regularly, want %d", relays, gossip.RelaysPerDataCentre)
	}
}
