package suspicion_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/suspicion"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestSuspicionBegins(t *testing.T) {
	success := func(s *suspicion.Suspicion) { s.RecordSuccess(epoch, epoch) }
	failure := func(weight float64) func(*suspicion.Suspicion) {
		return func(s *suspicion.Suspicion) { s.RecordFailure(epoch, weight) }
	}
	tests := []struct {
		name  string
		steps []func(*suspicion.Suspicion)
		want  bool
	}{
		{"nothing", nil, false},
		{"one broken connection", []func(*suspicion.Suspicion){failure(suspicion.BrokenConnectionWeight)}, true},
		{"one failure", []func(*suspicion.Suspicion){failure(suspicion.ErrorWeight)}, false},
		{"two failures in a row", []func(*suspicion.Suspicion){failure(suspicion.ErrorWeight), failure(suspicion.ErrorWeight)}, true},
		{"two failures with a success between", []func(*suspicion.Suspicion){failure(suspicion.ErrorWeight), success, failure(suspicion.ErrorWeight)}, false},
		{"one overdue and slow", []func(*suspicion.Suspicion){failure(suspicion.OverdueWeight), failure(suspicion.SlowWeight)}, false},
		{"two slow", []func(*suspicion.Suspicion){failure(suspicion.SlowWeight), failure(suspicion.SlowWeight)}, false},
		{"three slow in a row", []func(*suspicion.Suspicion){failure(suspicion.SlowWeight), failure(suspicion.SlowWeight), failure(suspicion.SlowWeight)}, true},
		{"two in a row overdue and slow", []func(*suspicion.Suspicion){failure(suspicion.OverdueWeight), failure(suspicion.SlowWeight), failure(suspicion.OverdueWeight), failure(suspicion.SlowWeight)}, true},
		{"alternately slow and good", []func(*suspicion.Suspicion){failure(suspicion.OverdueWeight), failure(suspicion.SlowWeight), success, failure(suspicion.OverdueWeight), success}, false},
		{"two successes after", []func(*suspicion.Suspicion){failure(suspicion.BrokenConnectionWeight), success, success}, true},
		{"three successes after", []func(*suspicion.Suspicion){failure(suspicion.BrokenConnectionWeight), success, success, success}, false},
		{"a failure among them", []func(*suspicion.Suspicion){failure(suspicion.BrokenConnectionWeight), success, success, failure(suspicion.ErrorWeight), success}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := suspicion.New()
			for _, step := range test.steps {
				step(s)
			}
			if s.Suspected() != test.want {
				t.Fatalf("suspected %t, want %t", s.Suspected(), test.want)
			}
		})
	}
}

// TestProbesAreLimitedAndNeverStop guards against probes that follow a failed one too soon, and against a
// backend server that is no longer probed after many failures.
func TestProbesAreLimitedAndNeverStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := suspicion.New()
		s.RecordFailure(epoch, suspicion.BrokenConnectionWeight)
		now, last := epoch, epoch
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			if !s.MayProbe(now) {
				if now.Sub(last) > 2*time.Second {
					t.Fatalf("no probe allowed for %s", now.Sub(last))
				}
				continue
			}
			if last != epoch && now.Sub(last) < 200*time.Millisecond {
				t.Fatalf("two probes sent within %s", now.Sub(last))
			}
			last = now
			s.RecordProbe(now)
			s.RecordFailure(now, suspicion.BrokenConnectionWeight)
		}
	})
}

// TestSurvivingProbeIsCountedOnce guards against a probe that is counted when it has outlived broken
// connections and again when its response arrives.
func TestSurvivingProbeIsCountedOnce(t *testing.T) {
	s := suspicion.New()
	s.RecordFailure(epoch, suspicion.BrokenConnectionWeight)
	now := epoch
	for range 2 {
		s.RecordProbe(now)
		if s.ProbeSurvived(now.Add(10 * time.Millisecond)) {
			t.Fatal("probe counted before its minimum run time")
		}
		now = now.Add(50 * time.Millisecond)
		s.ProbeSurvived(now)
	}
	s.RecordSuccess(now, now)
	s.RecordSuccess(now, now)
	if !s.Suspected() {
		t.Fatal("two probes counted as four")
	}
	s.RecordProbe(now)
	if !s.ProbeSurvived(now.Add(50 * time.Millisecond)) {
		t.Fatal("third probe did not end the suspicion")
	}
}

// TestSurvivalCountsOnlyAfterBrokenConnections guards against a running probe that ends a suspicion caused by
// failed responses; only a response shows success then.
func TestSurvivalCountsOnlyAfterBrokenConnections(t *testing.T) {
	s := suspicion.New()
	s.RecordFailure(epoch, suspicion.ErrorWeight)
	s.RecordFailure(epoch, suspicion.ErrorWeight)
	for i := range 5 {
		now := epoch.Add(time.Duration(i) * time.Second)
		s.RecordProbe(now)
		if s.ProbeSurvived(now.Add(time.Second)) {
			t.Fatal("suspicion ended without a response")
		}
	}
}

// TestHanging guards against a slow request that does not show hanging immediately, and against a
// success other than that of a later request ending it.
func TestHanging(t *testing.T) {
	s := suspicion.New()
	if s.Hanging(epoch) {
		t.Fatal("hanging without a slow request")
	}
	startedAt := epoch.Add(time.Second)
	s.RecordSlowRequest(startedAt)
	s.RecordSuccess(startedAt.Add(time.Second), startedAt.Add(-time.Millisecond))
	now := startedAt.Add(2 * time.Second)
	if !s.Hanging(now) {
		t.Fatal("not hanging after the success of an earlier request")
	}
	s.RecordSuccess(startedAt.Add(2*time.Second), startedAt.Add(time.Millisecond))
	if s.Hanging(now) {
		t.Fatal("hanging after the success of a later request")
	}
	s.RecordSlowRequest(startedAt)
	if s.Hanging(now) {
		t.Fatal("hanging because of a slow request older than the last success")
	}
}

// TestNonIdempotentRequestsMayProbe guards against a permanent suspicion of a backend server
// whose service has only non-idempotent requests.
func TestNonIdempotentRequestsMayProbe(t *testing.T) {
	s := suspicion.New()
	s.RecordFailure(epoch, suspicion.BrokenConnectionWeight)
	if s.MayProbeNonIdempotent(epoch.Add(time.Second)) {
		t.Fatal("a non-idempotent request may probe within the first second")
	}
	now := epoch
	for range 3 {
		now = now.Add(5 * time.Second)
		if !s.MayProbeNonIdempotent(now) {
			t.Fatal("no request may probe")
		}
		s.RecordProbe(now)
		s.RecordSuccess(now, now)
	}
	if s.Suspected() {
		t.Fatal("still suspected after three successes")
	}
}

// TestMostlySlow guards against confusing a backend server that hangs with one that fails immediately.
func TestMostlySlow(t *testing.T) {
	hangs := suspicion.New()
	hangs.RecordSlowness(epoch, suspicion.OverdueWeight)
	hangs.RecordSlowness(epoch, suspicion.OverdueWeight)
	if !hangs.Suspected() || !hangs.MostlySlow() {
		t.Fatal("two overdue requests: not suspected or not mostly slow")
	}
	hangs.RecordFailure(epoch, suspicion.BrokenConnectionWeight)
	if hangs.MostlySlow() {
		t.Fatal("mostly slow although connections break as well")
	}
	fails := suspicion.New()
	fails.RecordFailure(epoch, suspicion.ErrorWeight)
	fails.RecordFailure(epoch, suspicion.ErrorWeight)
	if !fails.Suspected() || fails.MostlySlow() {
		t.Fatal("two failures: not suspected or mostly slow")
	}
}

// TestHangingExpires guards against a backend server that counts as hanging forever because only
// non-idempotent requests, which are sent elsewhere, could show otherwise.
func TestHangingExpires(t *testing.T) {
	s := suspicion.New()
	s.RecordSlowRequest(epoch)
	ended := epoch.Add(3 * time.Second)
	if !s.Hanging(ended) {
		t.Fatal("not hanging while a slow request runs")
	}
	s.RecordSlowRequestEnd(ended, epoch)
	if !s.Hanging(ended.Add(2 * time.Second)) {
		t.Fatal("an ended slow request counted for less time than it ran")
	}
	if s.Hanging(ended.Add(4 * time.Second)) {
		t.Fatal("an ended slow request counted for longer than it ran")
	}
}
