package attempts_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/attempts"
	"github.com/tideliftd/tidelift/internal/balance"
	"github.com/tideliftd/tidelift/internal/fleet"
	"github.com/tideliftd/tidelift/internal/result"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newService returns a service with that many backend servers and unlimited retries.
func newService(t *testing.T, count int) *attempts.Service {
	t.Helper()
	text := "hosts: [{name: h1, data-centre: dc, peers: '127.0.0.1:1', control: '127.0.0.1:2'}]\nservices:\n- name: lookup\n  floor: 1\n  backend-servers:\n"
	for n := range count {
		text += fmt.Sprintf("  - {name: s%d, host: h1, address: '127.0.0.1:%d'}\n", n, 10+n)
	}
	declaration, err := fleet.Parse("fleet.yaml", []byte(text+"routes: [{host: a.example, service: lookup}]\n"))
	if err != nil {
		t.Fatal(err)
	}
	pool := balance.NewPool(balance.Config{DataCentre: "dc", Random: rand.Uint64, Start: start})
	pool.Reconfigure(declaration.Services[0], fleet.NewIndex(declaration))
	return &attempts.Service{Pool: pool, RetryLeft: func(time.Time) bool { return true }}
}

// requestTo returns an idempotent request to the service that arrived at start.
func requestTo(s *attempts.Service) attempts.Request {
	return attempts.Request{Service: s, MaxSent: 2, StartedAt: start, LatencyTargetAt: start.Add(4 * time.Second)}
}

// queryAll refuses each choice as busy until the request is to wait at a target, and returns the
// number of queries and that target. Each wait is shorter than the one before.
func queryAll(request attempts.Request, remote bool) (queried int, last attempts.Choice) {
	h := &attempts.History{}
	for wait := time.Minute; ; wait -= time.Second {
		c := attempts.Choose(start, request, h)
		if !c.RefuseIfBusy {
			return queried, c
		}
		queried++
		h.Record(c.Target, result.New(result.Busy).WithRetryAfter(wait), remote)
	}
}

// TestLimitedSlotQueries guards against a request that queries too many or too few backend servers
// for a free slot, by how busy the service is and by the kind of request.
func TestLimitedSlotQueries(t *testing.T) {
	for name, test := range map[string]struct {
		crowded, subrequest, remote bool
		want                        int
	}{
		"usually":             {want: 4},
		"crowded":             {crowded: true, want: 2},
		"remote":              {remote: true, want: 1},
		"subrequest":          {subrequest: true, want: 9},
		"subrequest, crowded": {subrequest: true, crowded: true, want: 9},
		"subrequest, remote":  {subrequest: true, remote: true, want: 9},
	} {
		s := newService(t, 9)
		for range 100 {
			s.Pool.RecordSlotCheck(!test.crowded)
		}
		request := requestTo(s)
		request.Subrequest = test.subrequest
		queried, last := queryAll(request, test.remote)
		if queried != test.want || last.Target == nil {
			t.Errorf("%s: %d backend servers queried, want %d, then %+v", name, queried, test.want, last)
		}
	}
}

// TestARequestWaitsWhereTheWaitIsShortest guards against a request that waits at a target with a
// longer wait, or that fails after the first refusal there.
func TestARequestWaitsWhereTheWaitIsShortest(t *testing.T) {
	s := newService(t, 3)
	targets := s.Pool.Targets()
	h := &attempts.History{}
	for n, wait := range []time.Duration{3, 1, 2} {
		h.Record(targets[n], result.New(result.Busy).WithRetryAfter(wait*time.Second), false)
	}
	for _, want := range []int{1, 2, 0} {
		if c := attempts.Choose(start, requestTo(s), h); c.Target != targets[want] || c.RefuseIfBusy {
			t.Fatalf("got %+v, want %s", c, targets[want].Name)
		}
		h.Last = result.New(result.QueueTooSlow)
	}
	if c := attempts.Choose(start, requestTo(s), h); c.Target != nil {
		t.Fatalf("got %+v after all targets were tried", c)
	}
}

// TestRecoveryIsVerified guards against a recovered backend server that gets no request to test it,
// and against tests with requests that must not be lost.
func TestRecoveryIsVerified(t *testing.T) {
	for name, test := range map[string]struct {
		probation, nonIdempotent, tried, noRetry bool
		want                                     bool
	}{
		"on probation":                 {probation: true, want: true},
		"on probation, without retry":  {probation: true, noRetry: true, want: true},
		"on probation, not idempotent": {probation: true, nonIdempotent: true},
		"on probation, tried":          {probation: true, tried: true},
		"suspected":                    {want: true},
		"suspected, without retry":     {noRetry: true},
		"suspected, not idempotent":    {nonIdempotent: true},
	} {
		s := newService(t, 2)
		s.RetryLeft = func(time.Time) bool { return !test.noRetry }
		unhealthy, healthy := s.Pool.Targets()[0], s.Pool.Targets()[1]
		for range 50 {
			healthy.Begin() // so that it is not preferred for its load
		}
		unhealthy.SetShare(0)
		healthy.SetShare(balance.FullShare)
		if test.probation {
			unhealthy.OpenProbation()
		} else {
			s.Pool.Suspect(unhealthy, start.Add(time.Millisecond))
		}
		now := start.Add(time.Second)
		request := requestTo(s)
		request.NonIdempotent = test.nonIdempotent
		h := &attempts.History{}
		if test.tried {
			h.Tried = []*balance.Target{nil}
		}
		first := attempts.Choose(now, request, h)
		if test.probation && first.Probation != test.want || test.want && first.Target != unhealthy {
			t.Errorf("%s: got %+v", name, first)
		}
		if again := attempts.Choose(now, request, h); again.Probation {
			t.Errorf("%s: two requests are on probation", name)
		}
	}
}

// TestRequestsWithoutRetryAvoidHangingServers guards against a request that cannot be retried being
// sent to a backend server that appears to hang, and against avoiding them after two refusals.
func TestRequestsWithoutRetryAvoidHangingServers(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(*attempts.Request, *attempts.History)
		hanging int
		want    bool
	}{
		"idempotent":     {change: func(*attempts.Request, *attempts.History) {}},
		"not idempotent": {change: func(request *attempts.Request, _ *attempts.History) { request.NonIdempotent = true }, want: true},
		"sent once":      {change: func(_ *attempts.Request, h *attempts.History) { h.Sent = 1 }, want: true},
		"no retry":       {change: func(request *attempts.Request, _ *attempts.History) { request.Service.RetryLeft = never }, want: true},
		"one hangs":      {change: func(request *attempts.Request, _ *attempts.History) { request.NonIdempotent = true }, hanging: 1, want: true},
		"two hang":       {change: func(request *attempts.Request, _ *attempts.History) { request.NonIdempotent = true }, hanging: 2},
		"ignored": {change: func(request *attempts.Request, _ *attempts.History) {
			request.NonIdempotent, request.Service.IgnoreHanging = true, true
		}},
	} {
		s := newService(t, 3)
		request, h := requestTo(s), &attempts.History{}
		test.change(&request, h)
		for n := range test.hanging {
			h.Record(s.Pool.Targets()[n], result.New(result.Unproven), false)
		}
		c := attempts.Choose(start, request, h)
		if c.Target == nil || c.RefuseIfHanging != test.want || test.want && test.hanging == 1 && c.Target == h.Hanging[0] {
			t.Errorf("%s: got %+v", name, c)
		}
	}
}

// TestFullQueuesLeadBackToHangingServers guards against a request that is refused for the full queues of
// busy backend servers, although those that refused it because they appeared to hang may have room.
func TestFullQueuesLeadBackToHangingServers(t *testing.T) {
	s := newService(t, 3)
	targets := s.Pool.Targets()
	request, h := requestTo(s), &attempts.History{}
	request.NonIdempotent = true
	h.Record(targets[0], result.New(result.Unproven), false)
	h.Record(targets[1], result.New(result.Unproven), false)
	h.Record(targets[2], result.New(result.Busy), true)
	if c := attempts.Choose(start, request, h); c.Target != targets[2] {
		t.Fatalf("got %+v, want the busy target", c)
	}
	h.Record(targets[2], result.New(result.QueueTooSlow), true)
	for range 2 {
		c := attempts.Choose(start, request, h)
		if c.Target == nil || c.Target == targets[2] || c.RefuseIfHanging || c.DespiteSuspicion {
			t.Fatalf("got %+v, want a target that appeared to hang", c)
		}
		h.Record(c.Target, result.New(result.Suspected), false)
	}
	if c := attempts.Choose(start, request, h); c.Target != nil {
		t.Fatalf("got %+v after all were chosen", c)
	}
}

func never(time.Time) bool { return false }

// TestSuspectedServersAreTheLastChoice guards against a suspected target chosen when queues are
// full, and against another selection without time for it.
func TestSuspectedServersAreTheLastChoice(t *testing.T) {
	for name, test := range map[string]struct {
		full, subrequest bool
		after            time.Duration
		chosen, reselect bool
	}{
		"immediately":       {chosen: true, reselect: true},
		"while it has time": {after: 900 * time.Millisecond, chosen: true, reselect: true},
		"without time":      {after: 950 * time.Millisecond, chosen: true},
		"full queues":       {full: true},
		"full, subrequest":  {full: true, subrequest: true, chosen: true},
	} {
		s := newService(t, 3)
		for _, target := range s.Pool.Targets() {
			s.Pool.Suspect(target, start.Add(time.Hour))
		}
		request, h := requestTo(s), &attempts.History{}
		request.Subrequest = test.subrequest
		if test.full {
			h.Record(s.Pool.Targets()[0], result.New(result.QueueFull), false)
		}
		c := attempts.Choose(start.Add(test.after), request, h)
		if (c.Target != nil) != test.chosen || test.chosen && !c.DespiteSuspicion || c.RetrySelection != test.reselect {
			t.Errorf("%s: got %+v", name, c)
		}
	}
}

// TestNoBackendServerIsKnown guards against a request that fails while the backend servers are not
// known yet, or that selects again after all were tried.
func TestNoBackendServerIsKnown(t *testing.T) {
	s := newService(t, 1)
	h := &attempts.History{}
	h.Record(s.Pool.Targets()[0], result.New(result.ServerUnreachable), false)
	if c := attempts.Choose(start, requestTo(s), h); c.Target != nil || c.RetrySelection {
		t.Fatalf("got %+v after all targets were tried", c)
	}
	s.Pool = balance.NewPool(balance.Config{DataCentre: "dc", Random: rand.Uint64, Start: start})
	if c := attempts.Choose(start, requestTo(s), &attempts.History{}); c.Target != nil || !c.RetrySelection {
		t.Fatalf("got %+v where no backend server is known", c)
	}
}

// TestLongRequestsAskMoreServersForProof guards against a long request that must not run twice being sent to
// a backend server that is not proven after two questions, and against more questions of other requests.
func TestLongRequestsAskMoreServersForProof(t *testing.T) {
	for name, test := range map[string]struct {
		long, nonIdempotent bool
		sent                int
		want                int
	}{
		"long, not idempotent":       {long: true, nonIdempotent: true, want: 4},
		"long, idempotent":           {long: true, want: 0},
		"long, idempotent, retry":    {long: true, sent: 1, want: 2},
		"not long, not idempotent":   {nonIdempotent: true, want: 2},
		"not long, idempotent retry": {sent: 1, want: 2},
	} {
		s := newService(t, 9)
		request, h := requestTo(s), &attempts.History{Sent: test.sent}
		request.Long, request.NonIdempotent = test.long, test.nonIdempotent
		asked := 0
		for c := attempts.Choose(start, request, h); c.RefuseIfHanging; c = attempts.Choose(start, request, h) {
			asked++
			h.Record(c.Target, result.New(result.Unproven), false)
		}
		if asked != test.want {
			t.Errorf("%s: %d backend servers asked for proof, want %d", name, asked, test.want)
		}
	}
}

// TestLongRetriesDoNotInsist guards against a retry of a long request that goes to a suspected backend server although
// others only lack retry budget or slots, and against any other request that no longer insists.
func TestLongRetriesDoNotInsist(t *testing.T) {
	lacksRetries, isFull, isSuspected := result.New(result.RetryLimit), result.New(result.QueueFull), result.New(result.Suspected)
	for name, test := range map[string]struct {
		long, subrequest, first bool
		refusal                 *result.Error
		want                    bool
	}{
		"others lack retries":                     {long: true, refusal: lacksRetries},
		"others lack slots, subrequest":           {long: true, subrequest: true, refusal: isFull},
		"all are suspected":                       {long: true, refusal: isSuspected, want: true},
		"first attempt":                           {long: true, first: true, refusal: lacksRetries, want: true},
		"first attempt, lack of slots":            {long: true, first: true, subrequest: true, refusal: isFull, want: true},
		"not long, others lack retries":           {refusal: lacksRetries, want: true},
		"not long, others lack slots, subrequest": {subrequest: true, refusal: isFull, want: true},
	} {
		s := newService(t, 4)
		targets := s.Pool.Targets()
		request, h := requestTo(s), &attempts.History{}
		request.Long, request.Subrequest = test.long, test.subrequest
		failure := result.New(result.ServerError)
		if !test.first {
			h.Record(targets[0], failure, false)
		}
		h.Record(targets[1], test.refusal, false)
		for _, target := range targets[1:] {
			s.Pool.Suspect(target, start.Add(time.Hour))
		}
		now := start.Add(2 * time.Second) // too late to select again
		h.Tried = append(h.Tried, targets[0])
		c := attempts.Choose(now, request, h)
		if (c.Target != nil) != test.want || c.DespiteSuspicion != test.want {
			t.Errorf("%s: got %+v", name, c)
		}
		if c.Target == nil && h.NoTargetFailure(len(targets), "").Code.Number == result.NoneAble.Number {
			t.Errorf("%s: the failure that the request had is lost", name)
		}
	}
}

// TestLongRetriesInsistIfAllOthersAreSuspected guards against a retry of a long request that ends because a
// suspected backend server lacks retry budget or slots, although only suspected ones are left.
func TestLongRetriesInsistIfAllOthersAreSuspected(t *testing.T) {
	for name, refusal := range map[string]*result.Error{
		"lacks retries":            result.New(result.RetryLimit),
		"lacks slots (subrequest)": result.New(result.QueueFull),
	} {
		s := newService(t, 4)
		targets := s.Pool.Targets()
		request, h := requestTo(s), &attempts.History{}
		request.Long, request.Subrequest = true, true
		h.Record(targets[0], result.New(result.ServerError), false)
		for _, target := range targets[1:] {
			s.Pool.Suspect(target, start.Add(time.Hour))
		}
		now := start.Add(2 * time.Second) // too late to select again
		for n := range targets[1:] {
			c := attempts.Choose(now, request, h)
			if c.Target == nil || !c.DespiteSuspicion {
				t.Fatalf("%s: choice %d is %+v", name, n+1, c)
			}
			h.Record(c.Target, refusal, false)
		}
	}
}
