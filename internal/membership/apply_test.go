package membership

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/member"
)

// TestLearnedRecordsAreAppliedTogether guards against a declaration that is put in force again for
// each record of each other host, which at the start of a fleet is as many times as there are hosts,
// at a cost that grows with the hosts.
func TestLearnedRecordsAreAppliedTogether(t *testing.T) {
	var applied atomic.Int64
	hosts := 0
	var m *Membership
	m = New(Config{
		Self:      member.Host{Name: "host-0"},
		Registers: true,
		Logger:    slog.New(slog.DiscardHandler),
		Plan:      func() *gossip.Plan { return nil },
		Reapply: func() {
			hosts = len(m.Hosts())
			applied.Add(1)
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.applyScheduled(ctx)
	}()
	const records = 1000
	began := time.Now()
	for n := range records {
		m.Learn("host-1", []member.Host{{Name: fmt.Sprintf("host-%d", n+1), Start: "a", Incarnation: 1, Version: 1}})
	}
	time.Sleep(2 * minApplyPause)
	cancel()
	<-ended
	if most := int64(time.Since(began)/minApplyPause) + 1; applied.Load() > most {
		t.Errorf("the declaration was put in force %d times for %d records, want at most %d", applied.Load(), records, most)
	}
	if hosts != records+1 {
		t.Errorf("%d hosts were applied in the end, want %d", hosts, records+1)
	}
}
