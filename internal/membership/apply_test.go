package membership

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tideliftd/tidelift/internal/gossip"
	"github.com/tideliftd/tidelift/internal/member"
)

// recordOf returns the first record of a host's daemon.
func recordOf(name string) member.Host {
	return member.Host{Name: name, DataCentre: "csepel", Peers: "127.0.0.1:1", Control: "127.0.0.1:1", Start: "a", Incarnation: 1, Version: 1}
}

// TestLearnedRecordsAreAppliedTogether guards against a declaration that is put in force again for each
// record of another host, at a cost that grows with the hosts.
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
		m.Learn("host-1", []member.Host{recordOf(fmt.Sprintf("host-%d", n+1))})
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

// TestWaitingApplicationDelaysNextBriefly guards against a daemon that sends all requests to its own backend server
// for seconds, since it applies no other hosts after an application that had to wait for a processor.
func TestWaitingApplicationDelaysNextBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const waited = 200 * time.Millisecond
		var m *Membership
		hosts := 0
		m = New(Config{
			Self:      member.Host{Name: "host-0"},
			Registers: true,
			Logger:    slog.New(slog.DiscardHandler),
			Plan:      func() *gossip.Plan { return nil },
			Reapply: func() {
				hosts = len(m.Hosts())
				time.Sleep(waited)
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			m.applyScheduled(ctx)
		}()
		m.Learn("host-1", []member.Host{recordOf("host-1")})
		time.Sleep(waited / 2)
		m.Learn("host-1", []member.Host{recordOf("host-2")})
		time.Sleep(time.Second)
		synctest.Wait()
		if hosts != 3 {
			t.Errorf("%d hosts are applied a second later, want 3", hosts)
		}
		cancel()
		<-ended
	})
}

// TestLearnedHostsTakeFewLogLines guards against a log line for each other host of a large fleet when it
// starts, which is as many at all hosts as the square of their number.
func TestLearnedHostsTakeFewLogLines(t *testing.T) {
	for _, hosts := range []int{5, 300, 1000, 4600} {
		var lines bytes.Buffer
		logged := learnLog{logger: slog.New(slog.NewTextHandler(&lines, nil))}
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for n := range hosts {
			logged.record(now, "host-1", []member.Host{{Name: fmt.Sprintf("host-%d", n+1)}})
		}
		logged.summarize()
		logged.summarize()
		count := strings.Count(lines.String(), "\n")
		if most := min(hosts, maxHostLines+1); count != most {
			t.Errorf("%d hosts took %d lines, want %d", hosts, count, most)
		}
		if want := fmt.Sprintf("hosts=%d\n", hosts-maxHostLines); hosts > maxHostLines && !strings.HasSuffix(lines.String(), want) {
			t.Errorf("the last line is not that of %s", want)
		}
	}
}
