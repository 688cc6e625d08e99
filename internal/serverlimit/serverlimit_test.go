package serverlimit_test

import (
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/serverlimit"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func TestParse(t *testing.T) {
	valid := map[string]float64{"2": 2, "1.1": 1.1, "\t0.5": 0.5, "0": 0, "1e9": 1e9}
	for text, want := range valid {
		if got, err := serverlimit.Parse(text); err != nil || got != want {
			t.Errorf("%q: got %g, %v; want %g", text, got, err, want)
		}
	}
	for _, text := range []string{"", "many", "-1", "NaN", "Inf", "+Inf", "0x10", "1_0", "2;3", "1e999"} {
		if got, err := serverlimit.Parse(text); err == nil {
			t.Errorf("%q was read as %g", text, got)
		}
	}
}

// TestAnswersThatOvertakeEachOther guards against a limit that is lifted by an answer from before it was named.
func TestAnswersThatOvertakeEachOther(t *testing.T) {
	var l serverlimit.Limit
	steps := []struct {
		name    string
		at      float64
		answer  serverlimit.Statement
		inForce float64
	}{
		{"none is named", 1, serverlimit.Statement{SentAt: at(0)}, 0},
		{"one is named", 2, serverlimit.Statement{SentAt: at(1), Named: true, PerSecond: 3}, 3},
		{"an answer to an earlier request", 2.5, serverlimit.Statement{SentAt: at(1.5)}, 3},
		{"another is named", 3, serverlimit.Statement{SentAt: at(1.6), Named: true, PerSecond: 5}, 5},
		{"an answer to a request in between", 3.5, serverlimit.Statement{SentAt: at(2.9)}, 5},
		{"none is named any more", 4, serverlimit.Statement{SentAt: at(3.1)}, 0},
		{"zero", 5, serverlimit.Statement{SentAt: at(4.5), Named: true}, serverlimit.MinPerSecond},
	}
	for _, step := range steps {
		l.Record(at(step.at), step.answer)
		if got := l.PerSecond(); got != step.inForce {
			t.Errorf("%s: %g requests a second, want %g", step.name, got, step.inForce)
		}
	}
}

// TestAdoptedLimitEndsWithTheFirstAnswer guards against a limit that is forgotten with a restart of the daemon, or outlives it.
func TestAdoptedLimitEndsWithTheFirstAnswer(t *testing.T) {
	var l serverlimit.Limit
	l.Adopt(at(1), 2)
	if got := l.PerSecond(); got != 2 {
		t.Fatalf("%g requests a second before the first answer, want 2", got)
	}
	l.Record(at(2), serverlimit.Statement{SentAt: at(1.5)})
	l.Adopt(at(3), 2)
	if got := l.PerSecond(); got != 0 {
		t.Fatalf("%g requests a second after an answer that names no limit", got)
	}
}
