package nested_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/nested"
	"github.com/tideliftd/tidelift/internal/route"
)

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	called  = route.Name{Host: "a.example", Path: "/balance/"}
	outside = route.Name{Host: "a.example", Path: "/search/"}
)

func TestACalledRouteIsLearned(t *testing.T) {
	tracker := nested.New()
	now := epoch
	for i := range 3 {
		now = now.Add(time.Second)
		tracker.Failed(now, called)
		news := tracker.Answered(now.Add(5*time.Millisecond), false)
		if len(news) != 1 || news[0] != (nested.Evidence{Route: called, Failures: 1, Followed: 1}) {
			t.Fatalf("failure %d is told as %v", i+1, news)
		}
		if tracker.Is(called) != (i == 2) {
			t.Fatalf("after %d failures: known %t", i+1, tracker.Is(called))
		}
	}
	tracker.Keep(func(route.Name) bool { return false })
	if tracker.Is(called) {
		t.Fatal("a route that is gone is kept")
	}
}

// TestHostsTeachEachOther lets three hosts see one failure each.
func TestHostsTeachEachOther(t *testing.T) {
	tracker := nested.New()
	seen := nested.Evidence{Route: called, Failures: 1, Followed: 1}
	for range 2 {
		if tracker.Hear(seen) {
			t.Fatal("two failures are enough")
		}
	}
	tracker.Failed(epoch, called)
	tracker.Answered(epoch.Add(time.Millisecond), false)
	if !tracker.Is(called) || !tracker.Hear(seen) {
		t.Fatal("a third, seen here, teaches nothing")
	}
	other := nested.New()
	for range 5 {
		if other.Hear(nested.Evidence{Route: outside, Failures: 9, Followed: 1}) {
			t.Fatal("what is seldom followed is taken for called")
		}
	}
}

// TestOneAnswerFollowsOnce lets one failed answer come after several failures: each is
// followed once.
func TestOneAnswerFollowsOnce(t *testing.T) {
	tracker := nested.New()
	tracker.Failed(epoch, called)
	tracker.Answered(epoch.Add(time.Millisecond), false)
	tracker.Answered(epoch.Add(2*time.Millisecond), false)
	tracker.Answered(epoch.Add(3*time.Millisecond), false)
	if tracker.Is(called) {
		t.Fatal("one failure was counted three times")
	}
}

// TestChanceTeachesLittle lets a host's backend server fail by itself, once a second by
// chance, while requests from outside fail at other moments.
func TestChanceTeachesLittle(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const hosts = 1000
	wrong := 0
	for range hosts {
		tracker := nested.New()
		now := epoch
		for range 20 {
			now = now.Add(time.Second)
			tracker.Failed(now, outside)
			next := time.Duration(random.ExpFloat64() * float64(time.Second))
			tracker.Answered(now.Add(next), false)
		}
		if tracker.Is(outside) {
			wrong++
		}
	}
	const most = hosts / 25
	if wrong > most {
		t.Fatalf("%d of %d hosts took chance for a call", wrong, hosts)
	}
}

func TestGoodAnswersAndLateOnesTeachNothing(t *testing.T) {
	tracker := nested.New()
	now := epoch
	for range 20 {
		now = now.Add(time.Second)
		tracker.Failed(now, outside)
		tracker.Answered(now.Add(time.Millisecond), true)
		tracker.Answered(now.Add(500*time.Millisecond), false)
	}
	if tracker.Is(outside) {
		t.Fatal("learned from good or late answers")
	}
}
