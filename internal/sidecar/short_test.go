package sidecar

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/hop"
)

// decisionsBefore is the digest of traceDecisions as of cad9269, which knew no quick failures.
const decisionsBefore = "d142ed8c0c8892840ea6be3e3dc95d9f457fe62ad4503a2ba66cb73cfffcbd4e"

// TestDecisionsWithoutQuickFailuresAreAsBefore guards against other decisions or delays, for requests that are not long and
// in daemons without the setting, than those of the code without quick failures.
func TestDecisionsWithoutQuickFailuresAreAsBefore(t *testing.T) {
	digest := sha256.New()
	suspected := 0
	for seed := range uint64(20) {
		suspected += traceDecisions(digest, seed)
	}
	if suspected < 1000 {
		t.Fatalf("only %d decisions were made during a suspicion", suspected)
	}
	if got := hex.EncodeToString(digest.Sum(nil)); got != decisionsBefore {
		t.Fatalf("decisions have digest %s, want %s", got, decisionsBefore)
	}
}

// traceDecisions writes the decisions on a random sequence of outcomes and requests to the digest, and
// returns how many were made while the backend server was suspected.
func traceDecisions(digest hash.Hash, seed uint64) (suspected int) {
	random := rand.New(rand.NewPCG(seed, 1))
	outcomes := []detect.Outcome{detect.OK, detect.OK, detect.OK, detect.Error, detect.Error, detect.Error, detect.ConnectionLost, detect.TimedOut, detect.Overdue}
	task := newTestTask()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for id := range uint64(2000) {
		now = now.Add(time.Duration(random.IntN(400)) * time.Millisecond)
		g := offer(task, now, id+1, hop.Call{
			NonIdempotent: random.IntN(4) == 0, DespiteSuspicion: random.IntN(8) == 0, RefuseIfHanging: random.IntN(4) == 0,
		})
		if task.suspicion.Suspected() {
			suspected++
		}
		_, _ = fmt.Fprintln(digest, task.suspicion.Suspected(), g.err, task.suspicion.RetryAfter(now).Milliseconds())
		if g.err != nil {
			continue
		}
		now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
		observation := detect.Observation{Outcome: outcomes[random.IntN(len(outcomes))], Latency: 20 * time.Millisecond, PastTarget: random.IntN(8) == 0}
		task.recordSuspicion(now, observation, detect.Baseline{Failure: random.Float64() / 5})
		task.release(now, releaseMessage{took: 20 * time.Millisecond})
	}
	return suspected
}
