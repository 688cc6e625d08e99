package record

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/retry"
	"github.com/tideliftd/tidelift/internal/store"
	"github.com/tideliftd/tidelift/internal/storehealth"
	"github.com/tideliftd/tidelift/test/wallclock"
)

// TestOnlyAFirstStartHasItsPartAtOnce writes a host's record to a store that has one of an earlier incarnation,
// or not, or whose answer is lost.
func TestOnlyAFirstStartHasItsPartAtOnce(t *testing.T) {
	errLost := errors.New("the answer is lost")
	tests := []struct {
		name    string
		fleets  bool // first start
		there   bool // the store has a record
		lost    bool // the first answer is lost, though the record is written
		wantHas bool // its part of the slack at once
	}{
		{name: "a fleet's first start", fleets: true, wantHas: true},
		{name: "a host that joins a fleet"},
		{name: "a start within the life of a record", fleets: true, there: true},
		{name: "a first start of which the answer is lost", fleets: true, lost: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			there, lost := test.there, test.lost
			commit := func(_ context.Context, change store.Change) (int64, error) {
				if there && len(change.Expect) > 0 {
					return 0, store.ErrConflict
				}
				there = true
				if lost {
					lost = false
					return 0, errLost
				}
				return 1, nil
			}
			now := time.Now()
			budgets := retry.NewBudgets(retry.Config{StartedAt: now})
			r := New(Config{Store: store.Store{Commit: commit}, FirstStart: test.fleets, OnShareUnused: budgets.SetSlackUnused})
			budgets.SetLimits(now, map[string]retry.Limit{"names": {Slack: 56, Window: 10 * time.Second, Hosts: 1}})
			for r.commit(context.Background(), store.Put{Key: "hosts/a"}) != nil {
				continue
			}
			if has := budgets.Available(now, "names"); has != test.wantHas {
				t.Fatalf("it has its part: %t", has)
			}
			if !budgets.Available(now.Add(10*time.Second), "names") {
				t.Fatal("it has no part after a window")
			}
		})
	}
}

// TestADeclaredHostHasItsPartAtOnceInItsFirstStart starts one with a store that knows of an earlier start, or
// not, or that does not answer.
func TestADeclaredHostHasItsPartAtOnceInItsFirstStart(t *testing.T) {
	tests := []struct {
		name    string
		fleets  bool  // first start
		answer  error // of the store
		wantHas bool
	}{
		{name: "a fleet's first start", fleets: true, wantHas: true},
		{name: "a host that joins a fleet"},
		{name: "a later start with the same settings", fleets: true, answer: store.ErrConflict},
		{name: "the store does not answer", fleets: true, answer: errors.New("away")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			commit := func(_ context.Context, change store.Change) (int64, error) {
				if len(change.Expect) != 1 || change.Expect[0].Revision != 0 || change.Expect[0].Key != change.Puts[0].Key {
					t.Errorf("the claim is not one: %+v", change)
				}
				return 1, test.answer
			}
			now := time.Now()
			budgets := retry.NewBudgets(retry.Config{StartedAt: now})
			r := New(Config{
				Host: "csepel-1", Store: store.Store{Commit: commit}, FirstStart: test.fleets, OnShareUnused: budgets.SetSlackUnused,
				Health: storehealth.New(storehealth.Config{Logger: slog.New(slog.DiscardHandler)}),
			})
			budgets.SetLimits(now, map[string]retry.Limit{"names": {Slack: 56, Window: 10 * time.Second, Hosts: 1}})
			r.ClaimFirstStart(context.Background())
			if has := budgets.Available(now, "names"); has != test.wantHas {
				t.Fatalf("it has its part: %t", has)
			}
			if !budgets.Available(now.Add(10*time.Second), "names") {
				t.Fatal("it has no part after a window")
			}
		})
	}
}

// TestAPartIsUsedWhileTheStoreHasTheRecord cuts a daemon off from the store.
func TestAPartIsUsedWhileTheStoreHasTheRecord(t *testing.T) {
	r := New(Config{})
	now := time.Now()
	r.confirmedAt.Store(&now)
	if r.ShareUsable() {
		t.Fatal("the hosts have not been counted")
	}
	r.counted.Store(true)
	if !r.ShareUsable() {
		t.Fatal("the hosts have been counted")
	}
	before := time.Now().Add(-sharedFor)
	r.confirmedAt.Store(&before)
	if r.ShareUsable() {
		t.Fatal("the store has not renewed the record, and a next life may not find it")
	}
}

// TestAPartEndsThoughTheClockStepsBack guards against a part of the retry slack that is used on while another
// incarnation of the host may have it: the wall clock stepped back after the store had last renewed the record.
func TestAPartEndsThoughTheClockStepsBack(t *testing.T) {
	r := New(Config{})
	r.counted.Store(true)
	confirmed := wallclock.ReadBeforeStepBack(time.Now().Add(-sharedFor), time.Hour)
	r.confirmedAt.Store(&confirmed)
	if r.ShareUsable() {
		t.Fatalf("the part is used %s after the store renewed the record", sharedFor)
	}
}
