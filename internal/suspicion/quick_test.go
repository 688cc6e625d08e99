package suspicion_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/suspicion"
)

// failQuickly records a quick failure of full weight.
func failQuickly(s *suspicion.Suspicion, now time.Time) {
	s.RecordQuickFailure(now, suspicion.QuickFailureWeight)
}

// pauseAfter returns the pause before the next probe.
func pauseAfter(s *suspicion.Suspicion, now time.Time) time.Duration {
	for pause := time.Duration(0); ; pause += time.Millisecond {
		if s.MayProbe(now.Add(pause)) {
			return pause
		}
	}
}

// TestQuickFailureWeight guards against a quick failure that alone does not begin suspicion, and
// against suspicion for failures that the others share.
func TestQuickFailureWeight(t *testing.T) {
	for _, test := range []struct {
		others float64
		needed int // quick failures until suspicion begins; 0: it never begins
	}{{0, 1}, {0.03, 1}, {0.09, 2}, {0.12, 4}, {0.15, 0}, {0.85, 0}} {
		s := suspicion.New()
		needed := 0
		for n := 1; n <= 20 && needed == 0; n++ {
			if weight := suspicion.ScaledQuickWeight(test.others); weight > 0 && s.RecordQuickFailure(epoch, weight) {
				needed = n
			}
		}
		if needed != test.needed || s.Suspected() != (test.needed > 0) {
			t.Errorf("others fail %.2f: suspected %t after %d quick failures, want %d", test.others, s.Suspected(), needed, test.needed)
		}
	}
}

// TestPausesAfterQuickFailures guards against probes that follow each other too soon during a spell of
// failures, or that stop. The rate of the requests, here one in two seconds, does not matter.
func TestPausesAfterQuickFailures(t *testing.T) {
	s := suspicion.New()
	now := epoch
	for range 20 {
		now = now.Add(2 * time.Second)
		s.RecordOffer(now)
	}
	for _, want := range []time.Duration{300, 900, 2700, 3000, 3000} {
		failQuickly(s, now)
		if got := pauseAfter(s, now); got != want*time.Millisecond {
			t.Fatalf("a pause of %s, want %d ms", got, want)
		}
		now = now.Add(want * time.Millisecond)
		s.RecordProbe(now)
	}
	s.RecordSuccess(now, now)
	if got := pauseAfter(s, now); got != 0 {
		t.Fatalf("a pause of %s after a successful probe", got)
	}
}

// TestOtherFailuresDuringQuickSuspicion guards against another kind of failure that brings back the pauses
// of other suspicions, and against quick failures that still decide after the suspicion has ended.
func TestOtherFailuresDuringQuickSuspicion(t *testing.T) {
	s := suspicion.New()
	failQuickly(s, epoch)
	s.RecordFailure(epoch, suspicion.ErrorWeight)
	if got := pauseAfter(s, epoch); got != 900*time.Millisecond {
		t.Fatalf("a pause of %s after a slow error, want 900 ms", got)
	}
	now := epoch.Add(time.Second)
	for range 3 {
		s.RecordProbe(now)
		s.RecordSuccess(now, now)
	}
	if s.Suspected() {
		t.Fatal("suspected after three successful probes")
	}
	s.RecordFailure(now, suspicion.ErrorWeight)
	s.RecordFailure(now, suspicion.ErrorWeight)
	if got := pauseAfter(s, now); got != 200*time.Millisecond {
		t.Fatalf("the next suspicion, without a quick failure, begins with a pause of %s, want 200 ms", got)
	}
	failQuickly(s, now)
	if got := pauseAfter(s, now); got != 600*time.Millisecond {
		t.Fatalf("a pause of %s after a quick failure in it, want 600 ms", got)
	}
}

// TestProbesSurviveQuickFailures guards against waiting for the whole answer of a probe where failures come
// within milliseconds, and against a failed probe that counts as survived because all others fail as well.
func TestProbesSurviveQuickFailures(t *testing.T) {
	s := suspicion.New()
	failQuickly(s, epoch)
	now := epoch.Add(time.Second)
	s.RecordProbe(now)
	s.RecordSharedFailure()
	if now = now.Add(100 * time.Millisecond); s.ProbeSurvived(now) || s.ConsecutiveSuccesses() > 0 {
		t.Fatal("a probe that failed counts as survived")
	}
	for n := range 3 {
		s.RecordProbe(now)
		if s.ProbeSurvived(now.Add(39 * time.Millisecond)) {
			t.Fatal("a probe counted before it has run for long enough")
		}
		now = now.Add(40 * time.Millisecond)
		if ended := s.ProbeSurvived(now); ended != (n == 2) {
			t.Fatalf("probe %d survived: suspicion ended %t", n+1, ended)
		}
	}
}

// TestEarlierRequestsLeaveThePause guards against a probe that is sent immediately because a request has
// succeeded that started before the failure, as each backend server has some when a spell begins.
func TestEarlierRequestsLeaveThePause(t *testing.T) {
	s := suspicion.New()
	failQuickly(s, epoch)
	now := epoch.Add(100 * time.Millisecond)
	s.RecordSuccess(now, epoch.Add(-time.Millisecond))
	if got := pauseAfter(s, now); got != 200*time.Millisecond {
		t.Fatalf("the next probe is due after %s, want 200 ms", got)
	}
	if s.ConsecutiveSuccesses() != 1 {
		t.Fatal("the success does not count")
	}
	s.RecordSuccess(now, epoch)
	if got := pauseAfter(s, now); got != 0 {
		t.Fatalf("the next probe is due after %s although a later request has succeeded", got)
	}
}

// TestProbesOfServerThatHangsDoNotSurvive guards against a suspicion that ends while the backend server fails
// in another way than at its beginning: one that hangs lets every probe run for longer than quick failures take.
func TestProbesOfServerThatHangsDoNotSurvive(t *testing.T) {
	s, now := suspicion.New(), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.RecordQuickFailure(now, suspicion.QuickFailureWeight)
	s.RecordSlowness(now, suspicion.OverdueWeight)
	for range 3 {
		now = now.Add(10 * time.Second)
		s.RecordProbe(now)
		now = now.Add(time.Second)
		if s.ProbeSurvived(now) || !s.Suspected() {
			t.Fatal("a probe without an answer counted as successful")
		}
	}
}
