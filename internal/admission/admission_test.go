package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/admission"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request(id uint64, customer string) admission.Request {
	return admission.Request{ID: id, Customer: customer, Deadline: start.Add(time.Minute)}
}

func TestOffer(t *testing.T) {
	tests := []struct {
		name  string
		offer []admission.Request
		want  []admission.Verdict
	}{
		{
			"slots, then the queue, then full",
			[]admission.Request{request(1, "a"), request(2, "a"), request(3, "a"), request(4, "a"), request(5, "a")},
			[]admission.Verdict{admission.Granted, admission.Granted, admission.Queued, admission.Queued, admission.RefusedFull},
		},
		{
			"a customer leaves a place for another",
			[]admission.Request{request(1, "b"), request(2, "a"), request(3, "a"), request(4, "a"), request(5, "b")},
			[]admission.Verdict{admission.Granted, admission.Granted, admission.Queued, admission.RefusedShare, admission.Queued},
		},
		{
			"no slot before the deadline",
			[]admission.Request{request(1, "a"), request(2, "a"), {ID: 3, Customer: "a", Deadline: start.Add(time.Millisecond)}},
			[]admission.Verdict{admission.Granted, admission.Granted, admission.RefusedTooSlow},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := admission.NewQueue(admission.Config{Slots: 2, Depth: 2})
			for i, r := range test.offer {
				if got := q.Offer(start, r); got.Verdict != test.want[i] {
					t.Fatalf("offer %d: %+v, want %s", i+1, got, test.want[i])
				}
			}
		})
	}
}

func TestFullQueueEvictsNewestOfLongest(t *testing.T) {
	q := admission.NewQueue(admission.Config{Slots: 1, Depth: 4})
	for id := range uint64(5) {
		q.Offer(start, request(id+1, "flood"))
	}
	if got := q.Offer(start, request(9, "quiet")); got.Verdict != admission.Queued || got.Evicted != 5 {
		t.Fatalf("%+v, want request 5 evicted", got)
	}
	granted, _ := q.Done(start, time.Millisecond)
	next, _ := q.Done(start, time.Millisecond)
	if !contains(append(granted, next...), 9) {
		t.Fatalf("granted %v and %v, want 9 among them", granted, next)
	}
}

func TestTheMostUrgentWaitLeast(t *testing.T) {
	q := admission.NewQueue(admission.Config{Slots: 1, Depth: 3})
	offer := func(id uint64, priority int) admission.Decision {
		r := request(id, "a")
		r.Priority = priority
		return q.Offer(start, r)
	}
	offer(1, 2)
	offer(2, 2)
	offer(3, 1)
	offer(4, 2)
	if got := offer(5, 0); got.Verdict != admission.Queued || got.Evicted != 4 {
		t.Fatalf("%+v, want request 4 evicted", got)
	}
	if got := offer(6, 2); got.Verdict != admission.RefusedFull {
		t.Fatalf("%+v, want a refusal of the least urgent", got)
	}
	for _, want := range []uint64{5, 3, 2} { // 2 is the only one left
		if granted, _ := q.Done(start, time.Millisecond); !contains(granted, want) {
			t.Fatalf("granted %v, want %d", granted, want)
		}
	}
}

func TestTheLessUrgentDoNotStarve(t *testing.T) {
	q := admission.NewQueue(admission.Config{Slots: 1, Depth: 50})
	for id := range uint64(20) {
		r := request(id+1, "a")
		r.Priority = int(id % 2)
		q.Offer(start, r)
	}
	lessUrgent := 0
	for range 8 {
		granted, _ := q.Done(start, time.Millisecond)
		if granted[0]%2 == 0 {
			lessUrgent++
		}
	}
	if lessUrgent != 2 {
		t.Fatalf("%d of 8 grants went to the less urgent, want 2", lessUrgent)
	}
}

func TestReachableTargetsAreServedFirst(t *testing.T) {
	q := admission.NewQueue(admission.Config{Slots: 1, Depth: 10})
	for id, target := range []time.Duration{time.Second, 50 * time.Millisecond, 60 * time.Millisecond, time.Second} {
		r := request(uint64(id)+1, "a")
		r.LatencyTargetAt = start.Add(target)
		q.Offer(start, r)
	}
	late := start.Add(55 * time.Millisecond)
	for _, want := range []uint64{4, 2, 3} {
		if granted, _ := q.Done(late, 0); !contains(granted, want) {
			t.Fatalf("granted %v, want %d", granted, want)
		}
	}
}

func contains(ids []uint64, id uint64) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// TestQueueKeepsItsBounds guards against exceeded slots or places, requests with no outcome or
// several, and requests that wait beside a free slot.
func TestQueueKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := admission.Config{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Depth: rapid.IntRange(1, 6).Draw(t, "depth")}
		q := admission.NewQueue(config)
		now := start
		var nextID uint64
		waiting := make(map[uint64]string)
		running := 0
		grant := func(granted, late []uint64) {
			for _, id := range append(granted, late...) {
				if _, ok := waiting[id]; !ok {
					t.Fatalf("request %d was not waiting", id)
				}
				delete(waiting, id)
			}
			running += len(granted)
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				nextID++
				customer := fmt.Sprint("c", rapid.IntRange(0, 5).Draw(t, "customer"))
				deadline := now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
				priority := rapid.IntRange(0, 2).Draw(t, "priority")
				decision := q.Offer(now, admission.Request{ID: nextID, Customer: customer, Priority: priority, Deadline: deadline})
				if decision.Evicted != 0 {
					grant(nil, []uint64{decision.Evicted})
				}
				switch decision.Verdict {
				case admission.Granted:
					running++
				case admission.Queued:
					waiting[nextID] = customer
				case admission.RefusedFull, admission.RefusedTooSlow, admission.RefusedShare:
				case admission.RefusedDraining, admission.RefusedEvacuated, admission.RefusedSuspected, admission.RefusedEjected,
					admission.RefusedHanging, admission.RefusedRetry, admission.RefusedLimited, admission.RefusedBusy:
					t.Fatalf("Offer returned %s, want a verdict of the queue", decision.Verdict)
				}
			},
			"done": func(t *rapid.T) {
				if running > 0 {
					running--
					grant(q.Done(now, time.Duration(rapid.IntRange(0, 50).Draw(t, "took"))*time.Millisecond))
				}
			},
			"cancel": func(t *rapid.T) {
				for id := range waiting {
					if !q.Cancel(id) {
						t.Fatalf("request %d was not waiting", id)
					}
					delete(waiting, id)
					return
				}
			},
			"pass": func(*rapid.T) { now = now.Add(30 * time.Millisecond) },
			"": func(t *rapid.T) {
				if q.Running() != running || q.Waiting() != len(waiting) {
					t.Fatalf("running %d, want %d; waiting %d, want %d", q.Running(), running, q.Waiting(), len(waiting))
				}
				if running > config.Slots || len(waiting) > config.Depth {
					t.Fatalf("%d running and %d waiting exceed %+v", running, len(waiting), config)
				}
				if len(waiting) > 0 && running < config.Slots {
					t.Fatalf("%d requests wait although a slot is free", len(waiting))
				}
			},
		})
	})
}

func BenchmarkOffer(b *testing.B) {
	q := admission.NewQueue(admission.Config{Slots: 10, Depth: 20})
	b.ReportAllocs()
	for b.Loop() {
		q.Offer(start, request(1, "county-7"))
		q.Done(start, time.Millisecond)
	}
}

// TestCrowdedQueueRefusesMissedTargets guards against requests that wait in a crowded queue
// although they will miss their latency target.
func TestCrowdedQueueRefusesMissedTargets(t *testing.T) {
	now := time.Now()
	q := admission.NewQueue(admission.Config{Slots: 2, Depth: 100})
	offer := func(id uint64, target time.Duration) admission.Verdict {
		return q.Offer(now, admission.Request{
			ID: id, LatencyTargetAt: now.Add(target), TypicalLatency: 400 * time.Millisecond, Deadline: now.Add(time.Minute),
		}).Verdict
	}
	for id := range uint64(4) {
		if verdict := offer(id+1, 100*time.Millisecond); verdict != admission.Granted && verdict != admission.Queued {
			t.Fatalf("request %d in a short queue: %s, want it granted or queued", id+1, verdict)
		}
	}
	if verdict := offer(5, 100*time.Millisecond); verdict != admission.RefusedTooSlow {
		t.Fatalf("request that misses its target: %s, want a refusal", verdict)
	}
	if verdict := offer(6, 10*time.Second); verdict != admission.Queued {
		t.Fatalf("request that meets its target: %s, want it queued", verdict)
	}
	if late := q.Expire(now.Add(time.Second)); len(late) != 1 || late[0] != 3 {
		t.Fatalf("expired %v, want only request 3, after which the queue is no longer crowded", late)
	}
}

// TestStalledSlotsAreLeftOutOfWait guards against waits that are underestimated while slots are
// stalled.
func TestStalledSlotsAreLeftOutOfWait(t *testing.T) {
	now := time.Now()
	q := admission.NewQueue(admission.Config{Slots: 4, Depth: 100})
	for id := range uint64(6) {
		q.Offer(now, admission.Request{ID: id + 1, Deadline: now.Add(time.Minute)})
	}
	all := q.RetryAfter()
	q.MarkStalled()
	q.MarkStalled()
	if half := q.RetryAfter(); half != 2*all {
		t.Fatalf("wait with half of the slots stalled: %v, without: %v; want twice as long", half, all)
	}
	q.UnmarkStalled()
	q.UnmarkStalled()
	q.UnmarkStalled() // one more than are stalled
	if again := q.RetryAfter(); again != all {
		t.Fatalf("wait after the stalled slots are freed: %v, want %v", again, all)
	}
}
