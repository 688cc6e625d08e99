package sidecar

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/hop"
	"github.com/tideliftd/tidelift/internal/result"
)

// TestQuickFailuresAreThoseOfLongRequests guards against requests that are not long, or daemons without
// the setting, being decided by the rules for quick failures.
func TestQuickFailuresAreThoseOfLongRequests(t *testing.T) {
	const long = time.Minute // so that no delay of the test decides
	failed := func(s *slot) { s.answered(&http.Response{StatusCode: http.StatusInternalServerError}) }
	tests := map[string]struct {
		threshold, target, after time.Duration
		end                      func(*slot)
		want                     bool
		ofLong                   bool
	}{
		"a call of a long one": {threshold: long, target: long / 2, end: failed, want: true, ofLong: true},
		"a call, unset":        {threshold: 0, target: long / 2, end: failed, want: false, ofLong: true},
		"long":                 {long, long, 0, failed, true, false},
		"short":                {long, long - time.Millisecond, 0, failed, false, false},
		"without the setting":  {0, long, 0, failed, false, false},
		"unknown target":       {long, 0, 0, failed, false, false},
		"after its work":       {long, long, long/10 + time.Millisecond, failed, false, false},
		"without a promise":    {long, long, 0, func(s *slot) { s.failed(result.New(result.ServerFailed)) }, true, false},
		"a lost connection":    {long, long, 0, func(s *slot) { s.failed(result.New(result.ConnectionLost)) }, false, false},
		"load that it refuses": {long, long, 0, func(s *slot) { s.failed(result.New(result.NotTaken)) }, false, false},
		"a good answer":        {long, long, 0, func(s *slot) { s.answered(&http.Response{StatusCode: http.StatusOK}) }, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			task := newTestTask()
			server := &server{
				mailbox: make(chan any, 2), ended: make(chan struct{}),
				longLatencyTarget: test.threshold, quickFailures: scope.Counter("sidecar_quick_failures"),
			}
			server.declared.Store(task.declared)
			s := &slot{server: server}
			s.begin(detect.Baseline{}, hop.Call{LatencyTarget: test.target, Long: test.ofLong})
			s.started = s.started.Add(-test.after)
			test.end(s)
			counted := scope.Snapshot().Counters()["sidecar_quick_failures+"].Value()
			if s.observation.Quick != test.want || (counted == 1) != test.want {
				t.Fatalf("quick %t, %d counted, want %t", s.observation.Quick, counted, test.want)
			}
		})
	}
}

// TestOneQuickFailureBeginsSuspicion guards against a second caller that loses its request before a failing
// backend server is avoided, and against a log that does not say why.
func TestOneQuickFailureBeginsSuspicion(t *testing.T) {
	for _, quick := range []bool{false, true} {
		task := newTestTask()
		var log bytes.Buffer
		task.config.Logger = slog.New(slog.NewTextHandler(&log, nil))
		task.recordSuspicion(time.Now(), detect.Observation{Outcome: detect.Error, Quick: quick}, detect.Baseline{Failure: 0.012})
		if task.suspicion.Suspected() != quick || strings.Contains(log.String(), "quick=true") != quick {
			t.Fatalf("quick %t: suspected %t, logged %q", quick, task.suspicion.Suspected(), log.String())
		}
	}
}

// TestSharedQuickFailuresBeginNoSuspicion guards against suspecting a backend server for quick failures
// that the others have as well.
func TestSharedQuickFailuresBeginNoSuspicion(t *testing.T) {
	task := newTestTask()
	for range 20 {
		task.recordSuspicion(time.Now(), detect.Observation{Outcome: detect.Error, Quick: true}, detect.Baseline{Failure: 0.15})
	}
	if task.suspicion.Suspected() {
		t.Fatal("suspected for shared failures")
	}
}

// TestThresholdReachesTheBackendServers guards against a sidecar whose setting has no effect on the requests
// that it runs: only the failure of a long request makes it refuse the next one.
func TestThresholdReachesTheBackendServers(t *testing.T) {
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer failing.Close()
	declaration, err := fleet.Parse("fleet.yaml", []byte(`
hosts: [{name: h1, data-centre: dc, peers: '127.0.0.1:1', control: '127.0.0.1:2'}]
services: [{name: lookup, floor: 1, backend-servers: [{name: s1, host: h1, address: '`+failing.Listener.Addr().String()+`'}]}]
routes: [{host: a.example, service: lookup}]
`))
	if err != nil {
		t.Fatal(err)
	}
	for target, want := range map[time.Duration]int{time.Minute: result.Suspected.Number, time.Second: 0} {
		scope := tally.NewTestScope("", nil)
		s, cleanUp := New(Config{Host: "h1", LongLatencyTarget: time.Minute, Logger: slog.New(slog.DiscardHandler), Scope: scope})
		s.Reconfigure(fleet.NewIndex(declaration))
		call := hop.Call{BackendServer: "s1", TimeLeft: time.Minute, LatencyTargetLeft: target, LatencyTarget: target, RefuseIfBusy: true}
		code := 0
		for range 2 {
			answer, err := s.Do(t.Context(), call, httptest.NewRequest(http.MethodGet, "/", nil))
			if code = 0; err != nil {
				code = result.From(err).Code.Number
				continue
			}
			_ = answer.Response.Body.Close()
		}
		if counted := scope.Snapshot().Counters()["sidecar_quick_failures+"].Value(); code != want || (counted == 1) != (want != 0) {
			t.Errorf("latency target %s: the second request ended with %d, want %d; %d quick failures", target, code, want, counted)
		}
		cleanUp()
	}
}
