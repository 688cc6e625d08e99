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

var errUnreachable = errors.New("unreachable")

func newHealth() *storehealth.Health {
	return storehealth.New(storehealth.Config{Logger: slog.New(slog.DiscardHandler)})
}

func TestUntilAnswered(t *testing.T) {
	health := newHealth()
	calls := 0
	answered := health.UntilAnswered(context.Background(), func() error {
		calls++
		if calls < 3 {
			return errUnreachable
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
		return errUnreachable
	})
	if answered || health.Answers() {
		t.Fatalf("answered: %t; the store answers: %t", answered, health.Answers())
	}
}

// TestRetryRecordsOnlyFailures guards against a success that is recorded before the calls that
// have to follow it.
func TestRetryRecordsOnlyFailures(t *testing.T) {
	health := newHealth()
	health.RecordFailure(errUnreachable)
	if !health.Retry(context.Background(), func() error { return nil }) || health.Answers() {
		t.Fatal("the answer was recorded")
	}
}

func TestState(t *testing.T) {
	tests := map[string]struct {
		setup func(*storehealth.Health)
		want  storehealth.State
	}{
		"nothing is known":                    {func(*storehealth.Health) {}, storehealth.Unknown},
		"another daemon saw an answer":        {func(h *storehealth.Health) { h.RecordSeen(time.Now()) }, storehealth.Up},
		"another daemon saw one long ago":     {func(h *storehealth.Health) { h.RecordSeen(time.Now().Add(-time.Hour)) }, storehealth.Unknown},
		"its watch was answered":              {func(h *storehealth.Health) { h.BeginWatch(); h.RecordSuccess() }, storehealth.Up},
		"its watch fails, others see answers": {func(h *storehealth.Health) { h.BeginWatch(); h.RecordFailure(errUnreachable); h.RecordSeen(time.Now()) }, storehealth.Down},
		"its watch has just ended":            {func(h *storehealth.Health) { h.BeginWatch(); h.RecordWatched(); h.EndWatch() }, storehealth.Up},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			health := newHealth()
			test.setup(health)
			if got := health.State(); got != test.want {
				t.Fatalf("state is %s, want %s", got, test.want)
			}
		})
	}
}

// TestPendingWatchIsNoAnswer guards against a silently broken watch that counts as an answer of the store.
func TestPendingWatchIsNoAnswer(t *testing.T) {
	health := newHealth()
	health.BeginWatch()
	health.RecordWatched()
	answered := health.LastSeen()
	time.Sleep(10 * time.Millisecond)
	steps := []struct {
		name string
		do   func()
	}{
		{"the watch is pending", func() {}},
		{"another call was answered", health.RecordSuccess},
		{"the watch has failed", func() { health.RecordFailure(errUnreachable) }},
		{"the watch has ended", health.EndWatch},
	}
	for _, step := range steps {
		step.do()
		if got := health.LastSeen(); !got.Equal(answered) {
			t.Errorf("%s: last seen %s after the answer", step.name, got.Sub(answered))
		}
	}
}

// TestRecordSeenKeepsLatest guards against an older report that replaces a newer one.
func TestRecordSeenKeepsLatest(t *testing.T) {
	health := newHealth()
	now := time.Now()
	health.RecordSeen(now)
	health.RecordSeen(now.Add(-time.Minute))
	if got := health.LastSeen(); !got.Equal(now) {
		t.Fatalf("last seen %s, want %s", got, now)
	}
}

// TestRecordSeenAfterClockStepBack guards against an old report that counts as recent after the wall
// clock has stepped back.
func TestRecordSeenAfterClockStepBack(t *testing.T) {
	health := newHealth()
	health.RecordSeen(wallclock.ReadBeforeStepBack(time.Now().Add(-time.Minute), time.Hour))
	if age := time.Since(health.LastSeen()); age < time.Minute {
		t.Errorf("an answer seen a minute ago is %s old", age)
	}
	if got := health.State(); got != storehealth.Unknown {
		t.Errorf("state is %s, want %s", got, storehealth.Unknown)
	}
	now := time.Now()
	health.RecordSeen(now)
	if got := health.LastSeen(); !got.Equal(now) {
		t.Errorf("an answer after the step was not recorded: last seen %s, want %s", got, now)
	}
}
