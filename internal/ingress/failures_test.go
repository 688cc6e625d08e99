package ingress

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/result"
)

// targetStates lists, for each result code, the state of an attempt's target after a failure: in
// the request's history, and in the pool if pings are disabled. The default is "tried".
const targetStates = `
2002 tried paused
2004 tried full
2005 tried full
2007 tried paused
2008 tried paused
2009 tried paused
2010 tried paused
2013 tried paused
2027 tried paused
2028 tried paused
2029 tried full
2030 tried full
2017 tried sent
2018 tried sent
2019 suspected
2020 tried busy loaded
2021 hanging
2023 tried limited
3001 tried sent may-have-run
3002 tried sent may-have-run
3003 tried sent may-have-run
3004 tried sent may-have-run
3005 tried sent may-have-run
3006 tried sent may-have-run
3007 tried sent may-have-run
3008 tried sent may-have-run
3009 tried sent may-have-run
3010 tried sent may-have-run
4005 tried sent may-have-run
4008 tried sent may-have-run
`

// TestTargetStateAfterFailure guards against a result code that leaves its target in a wrong
// state.
func TestTargetStateAfterFailure(t *testing.T) {
	want := make(map[string]string)
	for line := range strings.Lines(strings.TrimSpace(targetStates)) {
		number, state, _ := strings.Cut(strings.TrimSpace(line), " ")
		want[number] = state
	}
	for _, code := range result.All() {
		wanted, ok := want[fmt.Sprint(code.Number)]
		if !ok {
			wanted = "tried"
		}
		if got := stateAfter(t, code); got != wanted {
			t.Errorf("%d %s: got %q, want %q", code.Number, code.Name, got, wanted)
		}
	}
}

// stateAfter returns the state of a target after a failure with the code.
func stateAfter(t *testing.T, code result.Code) string {
	t.Helper()
	pool := newTestPool(t, 1)
	a := &attempt{
		in:      &Ingress{},
		request: &request{service: &service{pool: pool, outlierDetector: &outlierDetector{observations: make(chan observation, 1)}}},
		Choice:  attempts.Choice{Target: pool.Targets()[0]},
	}
	failure := result.New(code).WithRetryAfter(time.Minute)
	history := &attempts.History{}
	history.Record(a.Target, failure, false)
	a.learnFromFailure(failure, time.Second)
	_, suspected := pool.PickSuspected(time.Now(), nil)
	var words []string
	add := func(is bool, word string) {
		if is {
			words = append(words, word)
		}
	}
	add(len(history.Tried) > 0, "tried")
	add(len(history.Busy) > 0, "busy")
	add(len(history.Hanging) > 0, "hanging")
	add(history.FullQueues > 0, "full")
	add(history.RetryRefusals > 0, "limited")
	add(history.Sent > 0, "sent")
	add(history.MayHaveRun != nil, "may-have-run")
	add(pool.Paused(a.Target, time.Now()), "paused")
	add(suspected, "suspected")
	add(a.Target.Load() > 0 && pool.BusyShare() > 0, "loaded")
	return strings.Join(words, " ")
}
