package storehealth_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tideliftd/tidelift/internal/storehealth"
	"github.com/tideliftd/tidelift/test/wallclock"
)

var errAway = errors.New("away")

func newHealth() *storehealth.Health {
	return storehealth.New(storehealth.Config{Logger: slog.New(slog.DiscardHandler)})
}

func TestUntilAnswered(t *testing.T) {
	health := newHealth()
	calls := 0
	answered := health.UntilAnswered(context.Background(), func() error {
		calls++
		if calls < 3 {
			return errAway
		}
		return nil
	})
	if !answered || calls != 3 || !health.Answers() {
		t.Fatalf("answered: %t after %d calls; the store answers: %t", answered, calls, health.Answers())
	}
}

func TestUntilAnsweredEndsWithItsContext(t *testing.T) {
	health := newHealth()
	ctx, cancel := context.WithCancel(context.Background())
	answered := health.UntilAnswered(ctx, func() error {
		cancel()
		return errAway
	})
	if answered || health.Answers() {
		t.Fatalf("answered: %t; the store answers: %t", answered, health.Answers())
	}
}

// TestRetryRecordsFailuresAlone repeats a call that may have to be followed by another.
func TestRetryRecordsFailuresAlone(t *testing.T) {
	health := newHealth()
	health.RecordFailure(errAway)
	if !health.Retry(context.Background(), func() error { return nil }) || health.Answers() {
		t.Fatal("the answer was recorded")
	}
}

func TestState(t *testing.T) {
	tests := map[string]struct {
		happen func(*storehealth.Health)
		want   storehealth.State
	}{
		"nothing is known":                    {func(*storehealth.Health) {}, storehealth.Unknown},
		"another daemon knew it to answer":    {func(h *storehealth.Health) { h.RecordSeen(time.Now()) }, storehealth.Up},
		"another daemon did long ago":         {func(h *storehealth.Health) { h.RecordSeen(time.Now().Add(-time.Hour)) }, storehealth.Unknown},
		"its watch was answered":              {func(h *storehealth.Health) { h.BeginWatch(); h.RecordSuccess() }, storehealth.Up},
		"its watch fails, whatever others do": {func(h *storehealth.Health) { h.BeginWatch(); h.RecordFailure(errAway); h.RecordSeen(time.Now()) }, storehealth.Down},
		"its watch has just ended":            {func(h *storehealth.Health) { h.BeginWatch(); h.RecordSuccess(); h.EndWatch() }, storehealth.Up},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			health := newHealth()
			test.happen(health)
			if got := health.State(); got != test.want {
				t.Fatalf("state is %s, want %s", got, test.want)
			}
		})
	}
}

// TestSeenOnlyRises hears of an older answer after a younger one.
func TestSeenOnlyRises(t *testing.T) {
	health := newHealth()
	now := time.Now()
	health.RecordSeen(now)
	health.RecordSeen(now.Add(-time.Minute))
	if got := health.LastSeen(); !got.Equal(now) {
		t.Fatalf("last seen %s, want %s", got, now)
	}
}

// TestAStepBackMakesNothingFresh guards against a store that counts as up for as long as the wall clock has
// stepped back: what another daemon said of it long ago stays as old as it is.
func TestAStepBackMakesNothingFresh(t *testing.T) {
	health := newHealth()
	health.RecordSeen(wallclock.ReadBeforeStepBack(time.Now().Add(-time.Minute), time.Hour))
	if age := time.Since(health.LastSeen()); age < time.Minute {
		t.Errorf("the answer of a minute ago is %s old", age)
	}
	if got := health.State(); got != storehealth.Unknown {
		t.Errorf("state is %s, want %s", got, storehealth.Unknown)
	}
	now := time.Now()
	health.RecordSeen(now)
	if got := health.LastSeen(); !got.Equal(now) {
		t.Errorf("an answer after the step is not taken: last seen %s, want %s", got, now)
	}
}
