package ingress

import (
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/experiment"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/route"
)

// TestDisabledMechanisms guards against a setting that fails to disable its mechanism or disables
// another one.
func TestDisabledMechanisms(t *testing.T) {
	for _, mechanism := range append(experiment.All(), "") {
		in, cleanUp := New(Config{
			Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, HeaderBytes: 1 << 16,
			Off: experiment.Off{mechanism},
		})
		t.Cleanup(cleanUp)
		declaration, err := fleet.Parse("fleet.yaml", []byte(twoServers))
		if err != nil {
			t.Fatal(err)
		}
		in.Reconfigure(fleet.NewIndex(declaration))
		s, _ := in.service("lookup")
		if s.attempts.NoHedges != (mechanism == experiment.Hedges) || s.attempts.IgnoreHanging != (mechanism == experiment.HangChecks) {
			t.Errorf("%q disabled: no hedges: %t, hanging ignored: %t", mechanism, s.attempts.NoHedges, s.attempts.IgnoreHanging)
		}
		first := admitted(t, in)
		if waitsForDeadline := first.attemptRequest.LatencyTargetAt.Equal(first.deadline); waitsForDeadline != (mechanism == experiment.LatencyTargets) {
			t.Errorf("%q disabled: a request waits until its deadline: %t", mechanism, waitsForDeadline)
		}
		in.MarkSubrequestRoutes([]route.Name{first.route})
		if got := admitted(t, in).attemptRequest.Subrequest; got != (mechanism != experiment.Subrequests) {
			t.Errorf("%q disabled: a subrequest is classified as one: %t", mechanism, got)
		}
	}
}

// admitted returns an admitted request.
func admitted(t *testing.T, in *Ingress) *request {
	t.Helper()
	r, err := in.admit(httptest.NewRecorder(), httptest.NewRequest("GET", "http://a.example/x", nil), time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return r
}
