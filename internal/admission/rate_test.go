package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/admission"
)

// TestRateLimitHolds guards against more grants in a second than the rate limit and its burst
// permit, whether requests arrive together, wait or find a free slot.
func TestRateLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const second = time.Second
		rate := float64(rapid.IntRange(1, 40).Draw(t, "rate"))
		allowed := int(rate + max(1, rate/4) + 1)
		q := admission.NewQueue(admission.Config{Slots: 8, Depth: 80})
		now := start
		q.SetRate(now, rate)
		var grants []time.Time
		id := uint64(0)
		step := func(granted int) {
			for range granted {
				grants = append(grants, now)
			}
			recent := 0
			for _, at := range grants {
				if now.Sub(at) < second {
					recent++
				}
			}
			if recent > allowed {
				t.Fatalf("%d grants in a second at a rate of %g", recent, rate)
			}
		}
		running := 0
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				if q.SetRate(now, rate) {
					granted, _ := q.Grant(now)
					running += len(granted)
					step(len(granted))
				}
			},
			"offer": func(t *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(t, "requests") {
					id++
					q.SetRate(now, rate)
					if q.Offer(now, admission.Request{ID: id, Deadline: now.Add(time.Minute)}).Verdict == admission.Granted {
						running++
						step(1)
					}
				}
			},
			"finish": func(t *rapid.T) {
				if running == 0 {
					t.Skip("nothing is running")
				}
				q.SetRate(now, rate)
				granted, _ := q.Done(now, 100*time.Millisecond)
				running += len(granted) - 1
				step(len(granted))
			},
		})
	})
}

// TestRateLimitIsVisible guards against callers that do not learn that a backend server with free
// slots takes no request at the moment, and against a limit that outlasts its cause.
func TestRateLimitIsVisible(t *testing.T) {
	q := admission.NewQueue(admission.Config{Slots: 8, Depth: 80})
	q.SetRate(start, 2)
	q.Offer(start, request(1, "a"))
	if q.HasSlot() || q.Load() < 1 {
		t.Fatalf("slot %t, load %g; want none and a full load", q.HasSlot(), q.Load())
	}
	if got := q.Offer(start, request(2, "a")); got.Verdict != admission.Queued {
		t.Fatalf("got %s, want queued", got.Verdict)
	}
	if wait := q.RetryAfter(); wait < 900*time.Millisecond || wait > 1100*time.Millisecond {
		t.Fatalf("retry after %s, want the second grant from now at two a second", wait)
	}
	if !q.SetRate(start, 0) {
		t.Fatal("waiting requests may be granted slots at the end of the limit")
	}
	if granted, _ := q.Grant(start); len(granted) != 1 || q.Load() >= 1 {
		t.Fatalf("granted %v, load %g after the end of the limit", granted, q.Load())
	}
}

// TestChangingLimitGrantsNoMore guards against a limit that each change of its value fills again.
func TestChangingLimitGrantsNoMore(t *testing.T) {
	q := admission.NewQueue(admission.Config{Slots: 50, Depth: 80})
	now := start
	granted := 0
	for i := range 400 {
		q.SetRate(now, []float64{1, 1.1}[i%2])
		if q.Offer(now, admission.Request{ID: uint64(i), Deadline: now}).Verdict == admission.Granted {
			granted++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if granted > 6 {
		t.Fatalf("%d grants in 4 s at about 1 a second", granted)
	}
}

// TestNamedLimitRefusesWhatWouldBeLate guards against requests that wait for a grant in vain.
func TestNamedLimitRefusesWhatWouldBeLate(t *testing.T) {
	limited := admission.Server{NamesLimit: true, Size: admission.Config{Slots: 8, Depth: 80}}
	inTime := admission.Request{ID: 2, LatencyTargetAt: start.Add(time.Second), Deadline: start.Add(2 * time.Second)}
	late := admission.Request{ID: 3, LatencyTargetAt: start.Add(200 * time.Millisecond), Deadline: start.Add(2 * time.Second)}
	tests := []struct {
		name    string
		attempt admission.Attempt
		request admission.Request
		want    admission.Verdict
	}{
		{"not to wait", admission.Attempt{RefuseIfBusy: true}, inTime, admission.RefusedLimited},
		{"in time", admission.Attempt{}, inTime, admission.Queued},
		{"late", admission.Attempt{}, late, admission.RefusedLimited},
	}
	for _, test := range tests {
		q := admission.NewQueue(limited.Size)
		q.SetRate(start, 2)
		q.Admit(start, &limited, admission.Attempt{}, admission.Request{ID: 1, Deadline: start.Add(time.Second)})
		got := q.Admit(start, &limited, test.attempt, test.request)
		if got.Verdict != test.want || got.Verdict == admission.RefusedLimited && got.RetryAfter != 500*time.Millisecond {
			t.Errorf("%s: %s after %s, want %s", test.name, got.Verdict, got.RetryAfter, test.want)
		}
	}
}
