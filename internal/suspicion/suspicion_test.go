package suspicion_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/suspicion"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWhatBeginsSuspicion(t *testing.T) {
	good := func(s *suspicion.Suspicion) { s.RecordSuccess(epoch, epoch) }
	bad := func(weight float64) func(*suspicion.Suspicion) {
		return func(s *suspicion.Suspicion) { s.RecordFailure(epoch, weight) }
	}
	tests := []struct {
		name  string
		steps []func(*suspicion.Suspicion)
		want  bool
	}{
		{"nothing", nil, false},
		{"one broken connection", []func(*suspicion.Suspicion){bad(suspicion.BrokenConnectionWeight)}, true},
		{"one failure", []func(*suspicion.Suspicion){bad(suspicion.ErrorWeight)}, false},
		{"two failures in a row", []func(*suspicion.Suspicion){bad(suspicion.ErrorWeight), bad(suspicion.ErrorWeight)}, true},
		{"two failures with a good answer between", []func(*suspicion.Suspicion){bad(suspicion.ErrorWeight), good, bad(suspicion.ErrorWeight)}, false},
		{"one overdue and slow", []func(*suspicion.Suspicion){bad(suspicion.OverdueWeight), bad(suspicion.SlowWeight)}, false},
		{"two slow", []func(*suspicion.Suspicion){bad(suspicion.SlowWeight), bad(suspicion.SlowWeight)}, false},
		{"three slow in a row", []func(*suspicion.Suspicion){bad(suspicion.SlowWeight), bad(suspicion.SlowWeight), bad(suspicion.SlowWeight)}, true},
		{"two in a row overdue and slow", []func(*suspicion.Suspicion){bad(suspicion.OverdueWeight), bad(suspicion.SlowWeight), bad(suspicion.OverdueWeight), bad(suspicion.SlowWeight)}, true},
		{"by turns slow and good", []func(*suspicion.Suspicion){bad(suspicion.OverdueWeight), bad(suspicion.SlowWeight), good, bad(suspicion.OverdueWeight), good}, false},
		{"two good answers after", []func(*suspicion.Suspicion){bad(suspicion.BrokenConnectionWeight), good, good}, true},
		{"three good answers after", []func(*suspicion.Suspicion){bad(suspicion.BrokenConnectionWeight), good, good, good}, false},
		{"a failure among them", []func(*suspicion.Suspicion){bad(suspicion.BrokenConnectionWeight), good, good, bad(suspicion.ErrorWeight), good}, true},
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

// TestProbesAreFewAndNeverStop sends a probe whenever one may be sent, to a
// backend server that fails all of them.
func TestProbesAreFewAndNeverStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := suspicion.New()
		s.RecordFailure(epoch, suspicion.BrokenConnectionWeight)
		now, last := epoch, epoch
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			if !s.MayProbe(now) {
				if now.Sub(last) > 2*time.Second {
					t.Fatalf("no probe for %s", now.Sub(last))
				}
				continue
			}
			if last != epoch && now.Sub(last) < 200*time.Millisecond {
				t.Fatalf("two probes within %s", now.Sub(last))
			}
			last = now
			s.RecordProbe(now)
			s.RecordFailure(now, suspicion.BrokenConnectionWeight)
		}
	})
}

// TestAProbeThatRunsIsCountedOnce counts a probe when it was not broken at once,
// and not again when its answer comes.
func TestAProbeThatRunsIsCountedOnce(t *testing.T) {
	s := suspicion.New()
	s.RecordFailure(epoch, suspicion.BrokenConnectionWeight)
	now := epoch
	for range 2 {
		s.RecordProbe(now)
		if s.ProbeSurvived(now.Add(10 * time.Millisecond)) {
			t.Fatal("a probe counts before it has survived")
		}
		now = now.Add(50 * time.Millisecond)
		s.ProbeSurvived(now)
	}
	s.RecordSuccess(now, now)
	s.RecordSuccess(now, now)
	if !s.Suspected() {
		t.Fatal("two probes were counted as four")
	}
	s.RecordProbe(now)
	if !s.ProbeSurvived(now.Add(50 * time.Millisecond)) {
		t.Fatal("the third probe does not end the suspicion")
	}
}

// TestOnlyBreakingIsOutlived leaves a failure that comes as an answer to the
// answers: a probe that runs proves nothing of it.
func TestOnlyBreakingIsOutlived(t *testing.T) {
	s := suspicion.New()
	s.RecordFailure(epoch, suspicion.ErrorWeight)
	s.RecordFailure(epoch, suspicion.ErrorWeight)
	for i := range 5 {
		now := epoch.Add(time.Duration(i) * time.Second)
		s.RecordProbe(now)
		if s.ProbeSurvived(now.Add(time.Second)) {
			t.Fatal("trusted without an answer")
		}
	}
}

// TestHanging holds that a slow request shows hanging at once, and that a good answer to a
// later one alone takes it back.
func TestHanging(t *testing.T) {
	s := suspicion.New()
	if s.Hanging(epoch) {
		t.Fatal("it hangs without a late request")
	}
	began := epoch.Add(time.Second)
	s.RecordSlowRequest(began)
	s.RecordSuccess(began.Add(time.Second), began.Add(-time.Millisecond))
	now := began.Add(2 * time.Second)
	if !s.Hanging(now) {
		t.Fatal("a good answer to an earlier request takes it back")
	}
	s.RecordSuccess(began.Add(2*time.Second), began.Add(time.Millisecond))
	if s.Hanging(now) {
		t.Fatal("it hangs after a good answer to a later request")
	}
	s.RecordSlowRequest(began)
	if s.Hanging(now) {
		t.Fatal("an old request that is late at last shows hanging")
	}
}

// TestWithoutRepeatableRequestsOthersFindOut leaves a service with requests alone
// that must not run twice.
func TestWithoutRepeatableRequestsOthersFindOut(t *testing.T) {
	s := suspicion.New()
	s.RecordFailure(epoch, suspicion.BrokenConnectionWeight)
	if s.MayProbeNonIdempotent(epoch.Add(time.Second)) {
		t.Fatal("the first second is not for them")
	}
	now := epoch
	for range 3 {
		now = now.Add(5 * time.Second)
		if !s.MayProbeNonIdempotent(now) {
			t.Fatal("nobody may find out")
		}
		s.RecordProbe(now)
		s.RecordSuccess(now, now)
	}
	if s.Suspected() {
		t.Fatal("three good answers are not enough")
	}
}

// TestMostlyLate tells a backend server that hangs from one that fails at once.
func TestMostlyLate(t *testing.T) {
	hangs := suspicion.New()
	hangs.RecordSlowness(epoch, suspicion.OverdueWeight)
	hangs.RecordSlowness(epoch, suspicion.OverdueWeight)
	if !hangs.Suspected() || !hangs.MostlySlow() {
		t.Fatal("one that hangs twice is taken for one that fails at once")
	}
	hangs.RecordFailure(epoch, suspicion.BrokenConnectionWeight)
	if hangs.MostlySlow() {
		t.Fatal("one that breaks connections as well is taken for one that only hangs")
	}
	fails := suspicion.New()
	fails.RecordFailure(epoch, suspicion.ErrorWeight)
	fails.RecordFailure(epoch, suspicion.ErrorWeight)
	if !fails.Suspected() || fails.MostlySlow() {
		t.Fatal("one that fails at once is taken for one that hangs")
	}
}

// TestHangingDoesNotLast ends a slow request without a good answer after it: nobody but one
// that must not run twice may be there to find out.
func TestHangingDoesNotLast(t *testing.T) {
	s := suspicion.New()
	s.RecordSlowRequest(epoch)
	ended := epoch.Add(3 * time.Second)
	if !s.Hanging(ended) {
		t.Fatal("a request that is late shows nothing")
	}
	s.RecordSlowRequestEnd(ended, epoch)
	if !s.Hanging(ended.Add(2 * time.Second)) {
		t.Fatal("it counts for less than it ran")
	}
	if s.Hanging(ended.Add(4 * time.Second)) {
		t.Fatal("it counts for longer than it ran")
	}
}
