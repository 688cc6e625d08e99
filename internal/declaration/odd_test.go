package declaration

import (
	"math"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/control"
	"github.com/tideliftd/tidelift/internal/revision"
)

// TestGreatestRevisionOfPeerIsRefused guards against a revision that nothing replaces, passed on by another daemon.
func TestGreatestRevisionOfPeerIsRefused(t *testing.T) {
	f := newFollower(t)
	f.apply(revision.Revision{Number: math.MaxInt64, YAML: "{}"})
	f.apply(revision.Revision{Number: 7, YAML: "{}"})
	if f.Revision() != 7 {
		t.Errorf("revision %d is in force, want 7", f.Revision())
	}
}

// TestImpossibleSilenceIsIgnored guards against a daemon that no longer watches the platform, because another one named a time
// in the future, or one beyond the range of a duration, as that of the platform's last answer.
func TestImpossibleSilenceIsIgnored(t *testing.T) {
	for _, ms := range []int64{-1, -3_600_000, math.MinInt64, math.MaxInt64, math.MaxInt64 / int64(time.Millisecond) * 3} {
		f := newFollower(t)
		f.receiveNotice(control.Notice{Host: "csepel-2", SilentMs: &ms})
		f.recordSilence(time.Now(), ms)
		if seen := f.config.Health.LastSeen(); !seen.IsZero() {
			t.Errorf("%d ms: the platform was seen %s ago", ms, time.Since(seen))
		}
	}
}
