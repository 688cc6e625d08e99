package subrequest_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/route"
	"github.com/tideliftd/tidelift/internal/subrequest"
)

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	called  = route.Name{Host: "a.example", Path: "/balance/"}
	outside = route.Name{Host: "a.example", Path: "/search/"}
)

// newTracker returns a tracker without evidence.
func newTracker() *subrequest.Tracker {
	return subrequest.New(subrequest.Config{OnChange: func(route.Name, bool) {}})
}

// newSteadyTracker returns a tracker of a host whose backend servers have not failed for a minute.
func newSteadyTracker() *subrequest.Tracker {
	tracker := newTracker()
	tracker.Failed(epoch.Add(-time.Minute), route.Name{Path: "/other/"})
	return tracker
}

// singleTrialEvidence returns the evidence of one followed trial on a host where failed answers are
// rare.
func singleTrialEvidence() subrequest.Evidence {
	tracker := newSteadyTracker()
	tracker.Failed(epoch, called)
	return tracker.Answered(epoch.Add(time.Millisecond), false)[0]
}

// TestACalledRouteIsLearned guards against a called route that is recognised too early or not at
// all, and against routes kept after their removal.
func TestACalledRouteIsLearned(t *testing.T) {
	tracker := newSteadyTracker()
	now := epoch
	for i := range 3 {
		now = now.Add(10 * time.Second)
		tracker.Failed(now, called)
		updates := tracker.Answered(now.Add(5*time.Millisecond), false)
		if len(updates) != 1 || updates[0] != singleTrialEvidence() {
			t.Fatalf("failure %d is reported as %v", i+1, updates)
		}
		if tracker.IsSubrequest(called) != (i == 2) {
			t.Fatalf("after %d failures: called %t", i+1, tracker.IsSubrequest(called))
		}
	}
	tracker.Retain(func(route.Name) bool { return false })
	if tracker.IsSubrequest(called) {
		t.Fatal("removed route is still considered called")
	}
}

// TestHostsShareEvidence guards against evidence or conclusions of other hosts that are ignored, or
// weigh more than local ones.
func TestHostsShareEvidence(t *testing.T) {
	tracker := newSteadyTracker()
	for range 2 {
		if tracker.AddRemoteEvidence(singleTrialEvidence()) {
			t.Fatal("route is considered called after two failures")
		}
	}
	tracker.Failed(epoch, called)
	tracker.Answered(epoch.Add(time.Millisecond), false)
	if !tracker.IsSubrequest(called) || !tracker.AddRemoteEvidence(singleTrialEvidence()) {
		t.Fatal("third failure, on this host, did not make the route considered called")
	}
	other := newTracker()
	other.MarkCalled(outside)
	if !other.IsSubrequest(outside) {
		t.Fatal("route is not considered called although another host reported it")
	}
	for range 5 {
		other.AddRemoteEvidence(subrequest.Evidence{Route: outside, Weight: -2})
	}
	if other.IsSubrequest(outside) {
		t.Fatal("route is still considered called after evidence against it")
	}
}

// TestConcurrentFailuresCountOnce guards against one failed answer that counts as evidence for many
// requests that failed together before it.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	tracker := newTracker()
	for i := range 50 {
		tracker.Failed(epoch.Add(time.Duration(i)*time.Millisecond), outside)
	}
	tracker.Answered(epoch.Add(60*time.Millisecond), false)
	if tracker.IsSubrequest(outside) {
		t.Fatal("one answer counted for fifty failures")
	}
}

// TestWrongConclusionIsReverted guards against a route that stays considered called although no
// failed answers follow its failures.
func TestWrongConclusionIsReverted(t *testing.T) {
	tracker := newTracker()
	tracker.MarkCalled(outside)
	now := epoch
	for i := range 10 {
		now = now.Add(time.Second)
		tracker.Failed(now, outside)
		if i > 5 && tracker.IsSubrequest(outside) {
			t.Fatalf("still considered called after %d failures that no failed answer followed", i)
		}
	}
}

// TestFailureIsFollowedOnce guards against one failure that counts again for each failed answer
// after it.
func TestFailureIsFollowedOnce(t *testing.T) {
	tracker := newTracker()
	tracker.Failed(epoch, called)
	tracker.Answered(epoch.Add(time.Millisecond), false)
	tracker.Answered(epoch.Add(2*time.Millisecond), false)
	tracker.Answered(epoch.Add(3*time.Millisecond), false)
	if tracker.IsSubrequest(called) {
		t.Fatal("one failure was counted three times")
	}
}

// TestCoincidencesAreSeldomTakenForCalls guards against routes considered called because unrelated
// failures happen to coincide with failed answers.
func TestCoincidencesAreSeldomTakenForCalls(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const hosts = 1000
	for _, rate := range []float64{0.3, 1, 3} {
		wrong := 0
		for range hosts {
			if takenForCalled(random, rate) {
				wrong++
			}
		}
		const most = hosts / 100
		if wrong > most {
			t.Errorf("%d of %d hosts considered the route called by chance, at %g failed answers per second", wrong, hosts, rate)
		}
	}
}

// takenForCalled simulates a minute with the given rate of failed answers per second and twice that
// rate of unrelated failures of a route. It reports whether the route was ever considered called.
func takenForCalled(random *rand.Rand, rate float64) bool {
	tracker := newTracker()
	next := func(rate float64) time.Duration {
		return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	answer, failure := next(rate), next(2*rate)
	for answer < time.Minute {
		if answer < failure {
			tracker.Answered(epoch.Add(answer), false)
			answer += next(rate)
		} else {
			tracker.Failed(epoch.Add(failure), outside)
			failure += next(2 * rate)
		}
		if tracker.IsSubrequest(outside) {
			return true
		}
	}
	return false
}

// TestGoodAndLateAnswersAreNoEvidence guards against successful answers, or failed ones after
// followWindow, that count as evidence for a route.
func TestGoodAndLateAnswersAreNoEvidence(t *testing.T) {
	tracker := newTracker()
	now := epoch
	for range 20 {
		now = now.Add(time.Second)
		tracker.Failed(now, outside)
		tracker.Answered(now.Add(time.Millisecond), true)
		tracker.Answered(now.Add(500*time.Millisecond), false)
	}
	if tracker.IsSubrequest(outside) {
		t.Fatal("good or late answers counted as evidence")
	}
}

// TestEachChangeIsReportedOnce guards against repeated reports of a route that is already
// considered called.
func TestEachChangeIsReportedOnce(t *testing.T) {
	var changes []bool
	tracker := subrequest.New(subrequest.Config{OnChange: func(name route.Name, is bool) {
		if name == called {
			changes = append(changes, is)
		}
	}})
	now := epoch
	for range 20 {
		now = now.Add(time.Second)
		tracker.Failed(now, called)
		if updates := tracker.Answered(now.Add(time.Millisecond), false); len(updates) > 0 && len(changes) > 0 && now.Sub(epoch) > 10*time.Second {
			t.Fatal("evidence for a route already considered called was reported again")
		}
	}
	for range 20 {
		now = now.Add(time.Second)
		tracker.Failed(now, called)
	}
	if !slices.Equal(changes, []bool{true, false}) {
		t.Fatalf("changes %v, want true, then false", changes)
	}
}
