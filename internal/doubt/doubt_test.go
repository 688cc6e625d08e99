package doubt_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tideliftd/tidelift/internal/doubt"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestWhatBeginsDoubt(t *testing.T) {
	good := func(d *doubt.Doubt) { d.Good(epoch, epoch) }
	bad := func(weight float64) func(*doubt.Doubt) {
		return func(d *doubt.Doubt) { d.Bad(epoch, weight) }
	}
	tests := []struct {
		name  string
		steps []func(*doubt.Doubt)
		want  bool
	}{
		{"nothing", nil, false},
		{"one broken connection", []func(*doubt.Doubt){bad(doubt.Broken)}, true},
		{"one failure", []func(*doubt.Doubt){bad(doubt.Failed)}, false},
		{"two failures in a row", []func(*doubt.Doubt){bad(doubt.Failed), bad(doubt.Failed)}, true},
		{"two failures with a good answer between", []func(*doubt.Doubt){bad(doubt.Failed), good, bad(doubt.Failed)}, false},
		{"one overdue and slow", []func(*doubt.Doubt){bad(doubt.Overdue), bad(doubt.Slow)}, false},
		{"two slow", []func(*doubt.Doubt){bad(doubt.Slow), bad(doubt.Slow)}, false},
		{"three slow in a row", []func(*doubt.Doubt){bad(doubt.Slow), bad(doubt.Slow), bad(doubt.Slow)}, true},
		{"two in a row overdue and slow", []func(*doubt.Doubt){bad(doubt.Overdue), bad(doubt.Slow), bad(doubt.Overdue), bad(doubt.Slow)}, true},
		{"by turns slow and good", []func(*doubt.Doubt){bad(doubt.Overdue), bad(doubt.Slow), good, bad(doubt.Overdue), good}, false},
		{"two good answers after", []func(*doubt.Doubt){bad(doubt.Broken), good, good}, true},
		{"three good answers after", []func(*doubt.Doubt){bad(doubt.Broken), good, good, good}, false},
		{"a failure among them", []func(*doubt.Doubt){bad(doubt.Broken), good, good, bad(doubt.Failed), good}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := doubt.New()
			for _, step := range test.steps {
				step(d)
			}
			if d.Doubted() != test.want {
				t.Fatalf("doubted %t, want %t", d.Doubted(), test.want)
			}
		})
	}
}

// TestProbesAreFewAndNeverStop sends a probe whenever one may be sent, to a
// backend server that fails all of them.
func TestProbesAreFewAndNeverStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := doubt.New()
		d.Bad(epoch, doubt.Broken)
		now, last := epoch, epoch
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			if !d.MayProbe(now) {
				if now.Sub(last) > 2*time.Second {
					t.Fatalf("no probe for %s", now.Sub(last))
				}
				continue
			}
			if last != epoch && now.Sub(last) < 200*time.Millisecond {
				t.Fatalf("two probes within %s", now.Sub(last))
			}
			last = now
			d.Probe(now)
			d.Bad(now, doubt.Broken)
		}
	})
}

// TestAProbeThatRunsIsCountedOnce counts a probe when it was not broken at once,
// and not again when its answer comes.
func TestAProbeThatRunsIsCountedOnce(t *testing.T) {
	d := doubt.New()
	d.Bad(epoch, doubt.Broken)
	now := epoch
	for range 2 {
		d.Probe(now)
		if d.Survived(now.Add(10 * time.Millisecond)) {
			t.Fatal("a probe counts before it has survived")
		}
		now = now.Add(50 * time.Millisecond)
		d.Survived(now)
	}
	d.Good(now, now)
	d.Good(now, now)
	if !d.Doubted() {
		t.Fatal("two probes were counted as four")
	}
	d.Probe(now)
	if !d.Survived(now.Add(50 * time.Millisecond)) {
		t.Fatal("the third probe does not end the doubt")
	}
}

// TestOnlyBreakingIsOutlived leaves a failure that comes as an answer to the
// answers: a probe that runs proves nothing of it.
func TestOnlyBreakingIsOutlived(t *testing.T) {
	d := doubt.New()
	d.Bad(epoch, doubt.Failed)
	d.Bad(epoch, doubt.Failed)
	for i := range 5 {
		now := epoch.Add(time.Duration(i) * time.Second)
		d.Probe(now)
		if d.Survived(now.Add(time.Second)) {
			t.Fatal("trusted without an answer")
		}
	}
}

// TestHanging holds that a late request shows hanging at once, and that a good answer to a
// later one alone takes it back.
func TestHanging(t *testing.T) {
	d := doubt.New()
	if d.Hanging(epoch) {
		t.Fatal("it hangs without a late request")
	}
	began := epoch.Add(time.Second)
	d.Late(began)
	d.Good(began.Add(time.Second), began.Add(-time.Millisecond))
	now := began.Add(2 * time.Second)
	if !d.Hanging(now) {
		t.Fatal("a good answer to an earlier request takes it back")
	}
	d.Good(began.Add(2*time.Second), began.Add(time.Millisecond))
	if d.Hanging(now) {
		t.Fatal("it hangs after a good answer to a later request")
	}
	d.Late(began)
	if d.Hanging(now) {
		t.Fatal("an old request that is late at last shows hanging")
	}
}

// TestWithoutRepeatableRequestsOthersFindOut leaves a service with requests alone
// that must not run twice.
func TestWithoutRepeatableRequestsOthersFindOut(t *testing.T) {
	d := doubt.New()
	d.Bad(epoch, doubt.Broken)
	if d.MayRisk(epoch.Add(time.Second)) {
		t.Fatal("the first second is not for them")
	}
	now := epoch
	for range 3 {
		now = now.Add(5 * time.Second)
		if !d.MayRisk(now) {
			t.Fatal("nobody may find out")
		}
		d.Probe(now)
		d.Good(now, now)
	}
	if d.Doubted() {
		t.Fatal("three good answers are not enough")
	}
}

// TestMostlyLate tells a backend server that hangs from one that fails at once.
func TestMostlyLate(t *testing.T) {
	hangs := doubt.New()
	hangs.BadLate(epoch, doubt.Overdue)
	hangs.BadLate(epoch, doubt.Overdue)
	if !hangs.Doubted() || !hangs.MostlyLate() {
		t.Fatal("one that hangs twice is taken for one that fails at once")
	}
	hangs.Bad(epoch, doubt.Broken)
	if hangs.MostlyLate() {
		t.Fatal("one that breaks connections as well is taken for one that only hangs")
	}
	fails := doubt.New()
	fails.Bad(epoch, doubt.Failed)
	fails.Bad(epoch, doubt.Failed)
	if !fails.Doubted() || fails.MostlyLate() {
		t.Fatal("one that fails at once is taken for one that hangs")
	}
}

// TestHangingDoesNotLast ends a late request without a good answer after it: nobody but one
// that must not run twice may be there to find out.
func TestHangingDoesNotLast(t *testing.T) {
	d := doubt.New()
	d.Late(epoch)
	ended := epoch.Add(3 * time.Second)
	if !d.Hanging(ended) {
		t.Fatal("a request that is late shows nothing")
	}
	d.LateEnded(ended, epoch)
	if !d.Hanging(ended.Add(2 * time.Second)) {
		t.Fatal("it counts for less than it ran")
	}
	if d.Hanging(ended.Add(4 * time.Second)) {
		t.Fatal("it counts for longer than it ran")
	}
}
