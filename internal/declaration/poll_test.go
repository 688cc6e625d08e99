package declaration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
)

// TestFewLostNoticesStartNoWatch guards against daemons that watch the platform beside healthy watchers.
func TestFewLostNoticesStartNoWatch(t *testing.T) {
	const usual, pollTime = 700 * time.Millisecond, 50 * time.Millisecond
	hosts := []fleet.Host{{Name: "csepel-1"}}
	for n := 2; n < 20; n++ {
		hosts = append(hosts, fleet.Host{Name: fmt.Sprintf("csepel-%d", n)})
	}
	plan := gossip.NewPlan(gossip.Config{Host: "csepel-1", Random: rand.Uint64}, hosts)
	if plan.IsWatcher() {
		t.Fatal("csepel-1 is a watcher; choose another name")
	}
	for _, c := range []struct {
		age  time.Duration // of the last known answer of the platform
		soon bool          // the next poll has to end before the daemon would watch
	}{
		{0, false},
		{gossip.StaleAfter - 600*time.Millisecond, true},
		{gossip.StaleAfter - 200*time.Millisecond, true},
		{10 * gossip.StaleAfter, false}, // the watchers are lost: no reason for more polls
	} {
		f := newFollower(t)
		f.plan.Store(plan)
		seen := time.Now().Add(-c.age)
		f.config.Health.RecordSeen(seen)
		next := f.untilPoll(usual)
		if staleIn := plan.StaleIn(seen, time.Now()); c.soon && next+pollTime > staleIn {
			t.Errorf("the last answer is %s old: the next poll is in %s, and the daemon would watch in %s", c.age, next, staleIn)
		}
		if !c.soon && next != usual {
			t.Errorf("the last answer is %s old: the next poll is in %s, want the usual %s", c.age, next, usual)
		}
	}
}
