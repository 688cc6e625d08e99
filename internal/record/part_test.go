package record

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/member"
	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/storehealth"
	"github.com/tideliftd/tidelift/test/wallclock"
)

// TestOnlyFirstStartUsesShareImmediately guards against a host that uses its share of the retry slack immediately although
// an earlier incarnation may have used it, including after a lost answer of the store.
func TestOnlyFirstStartUsesShareImmediately(t *testing.T) {
	errLost := errors.New("answer lost")
	tests := []struct {
		name       string
		firstStart bool // of the fleet
		exists     bool // the store has a record of the host
		lost       bool // the first write succeeds, but its answer is lost
		wantUsable bool // the share may be used immediately
	}{
		{name: "a fleet's first start", firstStart: true, wantUsable: true},
		{name: "a host that joins a fleet"},
		{name: "a start before the earlier record expires", firstStart: true, exists: true},
		{name: "a first start with a lost answer", firstStart: true, lost: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			exists, lost := test.exists, test.lost
			commit := func(_ context.Context, change store.Change) (int64, error) {
				if exists && len(change.Expect) > 0 {
					return 0, store.ErrConflict
				}
				exists = true
				if lost {
					lost = false
					return 0, errLost
				}
				return 1, nil
			}
			now := time.Now()
			budgets := retry.NewBudgets(retry.Config{StartedAt: now})
			r := New(Config{
				Store:      store.Store{Commit: commit, Get: func(context.Context, string) (store.Item, error) { return store.Item{}, nil }},
				FirstStart: test.firstStart, Self: func() member.Host { return member.Host{Name: "a"} }, OnShareUnused: budgets.SetSlackUnused,
			})
			budgets.SetLimits(now, map[string]retry.Limit{"names": {Slack: 56, Window: 10 * time.Second, Hosts: 1}})
			for r.commit(context.Background(), store.NoLease) != nil {
				continue
			}
			if usable := budgets.Available(now, "names"); usable != test.wantUsable {
				t.Fatalf("the share may be used immediately: %t", usable)
			}
			if !budgets.Available(now.Add(10*time.Second), "names") {
				t.Fatal("the share may not be used after a retry window")
			}
		})
	}
}

// TestDeclaredHostUsesShareImmediatelyInFirstStart guards against a declared host that does not use its share
// immediately in its first start, or does so in a later one or while the store does not answer.
func TestDeclaredHostUsesShareImmediatelyInFirstStart(t *testing.T) {
	tests := []struct {
		name       string
		firstStart bool  // of the fleet
		answer     error // of the store
		wantUsable bool
	}{
		{name: "a fleet's first start", firstStart: true, wantUsable: true},
		{name: "a host that joins a fleet"},
		{name: "a later start with the same settings", firstStart: true, answer: store.ErrConflict},
		{name: "the store does not answer", firstStart: true, answer: errors.New("unavailable")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			commit := func(_ context.Context, change store.Change) (int64, error) {
				if len(change.Expect) != 1 || change.Expect[0].Revision != 0 || change.Expect[0].Key != change.Puts[0].Key {
					t.Errorf("the change does not claim an absent key: %+v", change)
				}
				return 1, test.answer
			}
			now := time.Now()
			budgets := retry.NewBudgets(retry.Config{StartedAt: now})
			r := New(Config{
				Host: "csepel-1", Store: store.Store{Commit: commit}, FirstStart: test.firstStart, OnShareUnused: budgets.SetSlackUnused,
				Health: storehealth.New(storehealth.Config{Logger: slog.New(slog.DiscardHandler)}),
			})
			budgets.SetLimits(now, map[string]retry.Limit{"names": {Slack: 56, Window: 10 * time.Second, Hosts: 1}})
			r.ClaimFirstStart(context.Background())
			if usable := budgets.Available(now, "names"); usable != test.wantUsable {
				t.Fatalf("the share may be used immediately: %t", usable)
			}
			if !budgets.Available(now.Add(10*time.Second), "names") {
				t.Fatal("the share may not be used after a retry window")
			}
		})
	}
}

// TestShareIsUsableWhileStoreConfirmsRecord guards against a share that is used before the hosts are counted, or after
// the store stops confirming the record.
func TestShareIsUsableWhileStoreConfirmsRecord(t *testing.T) {
	r := New(Config{})
	now := time.Now()
	r.confirmedAt.Store(&now)
	if r.ShareUsable() {
		t.Fatal("the share may be used before the hosts are counted")
	}
	r.counted.Store(true)
	if !r.ShareUsable() {
		t.Fatal("the share may not be used after the hosts are counted")
	}
	before := time.Now().Add(-shareTTL)
	r.confirmedAt.Store(&before)
	if r.ShareUsable() {
		t.Fatal("the share may be used although the store does not confirm the record")
	}
}

// TestShareExpiresWhenClockStepsBack guards against a share that stays usable, and may be used twice, because the
// wall clock steps back after the last renewal of the record.
func TestShareExpiresWhenClockStepsBack(t *testing.T) {
	r := New(Config{})
	r.counted.Store(true)
	confirmed := wallclock.ReadBeforeStepBack(time.Now().Add(-shareTTL), time.Hour)
	r.confirmedAt.Store(&confirmed)
	if r.ShareUsable() {
		t.Fatalf("the share may be used %s after the store last renewed the record", shareTTL)
	}
}
