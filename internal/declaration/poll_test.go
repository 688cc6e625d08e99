package declaration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/gossip"
)

// TestFewLostNoticesStartNoWatch guards against daemons that watch the platform in place of healthy watchers because a
// few notices did not reach them.
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
		age    time.Duration
		within time.Duration
	}{
		{0, usual},
		{gossip.StaleAfter / 2, gossip.StaleAfter/2 - pollTime},
		{gossip.StaleAfter - 2*pollTime, 2 * pollTime},
		{10 * gossip.StaleAfter, usual}, // the watchers are lost: no reason for more polls
	} {
		f := newFollower(t)
		f.plan.Store(plan)
		f.config.Health.RecordSeen(time.Now().Add(-c.age))
		if got := f.untilPoll(usual); got > c.within || c.within == usual && got != usual {
			t.Errorf("the last answer is %s old: the next poll is in %s, want it within %s", c.age, got, c.within)
		}
	}
}
