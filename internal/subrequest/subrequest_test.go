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

// newTracker returns the tracker of a host of which nothing is known.
func newTracker() *subrequest.Tracker {
	return subrequest.New(subrequest.Config{OnChange: func(route.Name, bool) {}})
}

// newCalm returns the tracker of a host whose backend servers have not failed for long.
func newCalm() *subrequest.Tracker {
	tracker := newTracker()
	tracker.Failed(epoch.Add(-time.Minute), route.Name{Path: "/other/"})
	return tracker
}

// seenOnce is what one trial shows that a failed answer follows, where they are seldom.
func seenOnce() subrequest.Evidence {
	tracker := newCalm()
	tracker.Failed(epoch, called)
	return tracker.Answered(epoch.Add(time.Millisecond), false)[0]
}

func TestACalledRouteIsLearned(t *testing.T) {
	tracker := newCalm()
	now := epoch
	for i := range 3 {
		now = now.Add(10 * time.Second)
		tracker.Failed(now, called)
		updates := tracker.Answered(now.Add(5*time.Millisecond), false)
		if len(updates) != 1 || updates[0] != seenOnce() {
			t.Fatalf("failure %d is told as %v", i+1, updates)
		}
		if tracker.IsSubrequest(called) != (i == 2) {
			t.Fatalf("after %d failures: known %t", i+1, tracker.IsSubrequest(called))
		}
	}
	tracker.Retain(func(route.Name) bool { return false })
	if tracker.IsSubrequest(called) {
		t.Fatal("a route that is gone is kept")
	}
}

// TestHostsTeachEachOther lets three hosts see one failure each.
func TestHostsTeachEachOther(t *testing.T) {
	tracker := newCalm()
	for range 2 {
		if tracker.AddRemoteEvidence(seenOnce()) {
			t.Fatal("two failures are enough")
		}
	}
	tracker.Failed(epoch, called)
	tracker.Answered(epoch.Add(time.Millisecond), false)
	if !tracker.IsSubrequest(called) || !tracker.AddRemoteEvidence(seenOnce()) {
		t.Fatal("a third, seen here, teaches nothing")
	}
	other := newTracker()
	other.MarkCalled(outside)
	if !other.IsSubrequest(outside) {
		t.Fatal("what another host knows is not taken")
	}
	for range 5 {
		other.AddRemoteEvidence(subrequest.Evidence{Route: outside, Weight: -2})
	}
	if other.IsSubrequest(outside) {
		t.Fatal("what is seldom followed is taken for called")
	}
}

// TestFailuresAtOnceShowNoMoreThanOne lets many requests to a route fail together, and one
// answer of a backend server after them.
func TestFailuresAtOnceShowNoMoreThanOne(t *testing.T) {
	tracker := newTracker()
	for i := range 50 {
		tracker.Failed(epoch.Add(time.Duration(i)*time.Millisecond), outside)
	}
	tracker.Answered(epoch.Add(60*time.Millisecond), false)
	if tracker.IsSubrequest(outside) {
		t.Fatal("one answer speaks for fifty failures")
	}
}

// TestWhatWasLearnedWronglyIsUnlearned has failures of a route that is taken for called be
// followed by nothing.
func TestWhatWasLearnedWronglyIsUnlearned(t *testing.T) {
	tracker := newTracker()
	tracker.MarkCalled(outside)
	now := epoch
	for i := range 10 {
		now = now.Add(time.Second)
		tracker.Failed(now, outside)
		if i > 5 && tracker.IsSubrequest(outside) {
			t.Fatalf("still taken for called after %d failures that nothing followed", i)
		}
	}
}

// TestOneAnswerFollowsOnce lets one failed answer come after several failures: each is
// followed once.
func TestOneAnswerFollowsOnce(t *testing.T) {
	tracker := newTracker()
	tracker.Failed(epoch, called)
	tracker.Answered(epoch.Add(time.Millisecond), false)
	tracker.Answered(epoch.Add(2*time.Millisecond), false)
	tracker.Answered(epoch.Add(3*time.Millisecond), false)
	if tracker.IsSubrequest(called) {
		t.Fatal("one failure was counted three times")
	}
}

// TestChanceTeachesLittle lets a host's backend servers fail by themselves, by chance, while
// requests from outside fail at other moments.
func TestChanceTeachesLittle(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const hosts = 1000
	for _, rate := range []float64{0.3, 1, 3} {
		wrong := 0
		for range hosts {
			if takesChanceForACall(random, rate) {
				wrong++
			}
		}
		const most = hosts / 100
		if wrong > most {
			t.Errorf("%d of %d hosts took chance for a call, with %g failed answers a second", wrong, hosts, rate)
		}
	}
}

// takesChanceForACall plays a minute with so many failed answers a second, and twice as many
// failures of a route. It says whether the route was ever taken for called.
func takesChanceForACall(random *rand.Rand, rate float64) bool {
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

func TestGoodAnswersAndLateOnesTeachNothing(t *testing.T) {
	tracker := newTracker()
	now := epoch
	for range 20 {
		now = now.Add(time.Second)
		tracker.Failed(now, outside)
		tracker.Answered(now.Add(time.Millisecond), true)
		tracker.Answered(now.Add(500*time.Millisecond), false)
	}
	if tracker.IsSubrequest(outside) {
		t.Fatal("learned from good or late answers")
	}
}

// TestEachChangeIsToldOnce learns a route, sees it fail on, and unlearns it.
func TestEachChangeIsToldOnce(t *testing.T) {
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
			t.Fatal("other hosts are told of what has long been known")
		}
	}
	for range 20 {
		now = now.Add(time.Second)
		tracker.Failed(now, called)
	}
	if !slices.Equal(changes, []bool{true, false}) {
		t.Fatalf("told of %v", changes)
	}
}
