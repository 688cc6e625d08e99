package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/retry"
)

// TestLargeFleetUsesItsSlack guards against a limit that a large fleet can't use, because each host's
// share of the slack is less than one retry, and against hosts that together round up beyond it.
func TestLargeFleetUsesItsSlack(t *testing.T) {
	const slackPerHost = 1.06
	for _, hosts := range []int{20, 100, 300, 1000, 4600} {
		limit := retry.Limit{Share: 0.2, Slack: slackPerHost * float64(hosts), Window: 10 * time.Second, Hosts: hosts}
		available, able := 0, 0
		for n := range hosts {
			budgets := retry.NewBudgets(retry.Config{Host: fmt.Sprintf("host-%d", n), StartedAt: epoch})
			budgets.SetSlackUnused(time.Minute)
			budgets.SetLimits(epoch, map[string]retry.Limit{"search": limit})
			own := left(budgets, "search")
			available += own
			able += min(own, 1)
		}
		t.Logf("%d hosts: %d retries of a slack of %.0f, at %d hosts", hosts, available, limit.Slack, able)
		if float64(available) > limit.Slack {
			t.Errorf("%d hosts: %d retries, beyond the slack of %.0f", hosts, available, limit.Slack)
		}
		if float64(available) < limit.Slack/3 {
			t.Errorf("%d hosts: %d retries, less than a third of the slack of %.0f", hosts, available, limit.Slack)
		}
	}
}
