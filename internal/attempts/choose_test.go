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

// newService returns a service of so many backend servers, with as many retries as are asked for.
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

// termsOf returns the terms of an idempotent request that began at the start.
func termsOf(s *attempts.Service) attempts.Request {
	return attempts.Request{Service: s, MaxSent: 2, StartedAt: start, TargetAt: start.Add(4 * time.Second)}
}

// askAll has each choice refuse for want of a slot until one is asked to keep the request waiting,
// and returns how many were asked and the one where it waits. The wait is shorter at each.
func askAll(terms attempts.Request, far bool) (asked int, last attempts.Choice) {
	h := &attempts.History{}
	for wait := time.Minute; ; wait -= time.Second {
		c := attempts.Choose(start, terms, h)
		if !c.RefuseIfBusy {
			return asked, c
		}
		asked++
		h.Record(c.Target, result.New(result.Busy).WithRetryAfter(wait), far)
	}
}

// TestAFewAreAskedForASlot counts them, by what is known of the service and the request.
func TestAFewAreAskedForASlot(t *testing.T) {
	for name, test := range map[string]struct {
		crowded, subrequest, far bool
		want                     int
	}{
		"usually":              {want: 4},
		"crowded":              {crowded: true, want: 2},
		"in another":           {far: true, want: 1},
		"subrequest":           {subrequest: true, want: 9},
		"subrequest, crowded":  {subrequest: true, crowded: true, want: 9},
		"subrequest, far away": {subrequest: true, far: true, want: 9},
	} {
		s := newService(t, 9)
		for range 100 {
			s.Pool.RecordSlotCheck(!test.crowded)
		}
		terms := termsOf(s)
		terms.Subrequest = test.subrequest
		asked, last := askAll(terms, test.far)
		if asked != test.want || last.Target == nil {
			t.Errorf("%s: %d are asked, want %d, then %+v", name, asked, test.want, last)
		}
	}
}

// TestARequestWaitsWhereTheWaitIsShortest goes on to the next if it is refused there.
func TestARequestWaitsWhereTheWaitIsShortest(t *testing.T) {
	s := newService(t, 3)
	targets := s.Pool.Targets()
	h := &attempts.History{}
	for n, wait := range []time.Duration{3, 1, 2} {
		h.Record(targets[n], result.New(result.Busy).WithRetryAfter(wait*time.Second), false)
	}
	for _, want := range []int{1, 2, 0} {
		if c := attempts.Choose(start, termsOf(s), h); c.Target != targets[want] || c.RefuseIfBusy {
			t.Fatalf("got %+v, want %s", c, targets[want].Name)
		}
		h.Last = result.New(result.QueueTooSlow)
	}
	if c := attempts.Choose(start, termsOf(s), h); c.Target != nil {
		t.Fatalf("got %+v after all were asked", c)
	}
}

// TestOneThatMayHaveRecoveredIsFoundOut sends an idempotent request's first attempt there.
func TestOneThatMayHaveRecoveredIsFoundOut(t *testing.T) {
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
		sick, well := s.Pool.Targets()[0], s.Pool.Targets()[1]
		for range 50 {
			well.Begin() // so that it is not chosen for its load
		}
		sick.SetShare(0)
		well.SetShare(balance.FullShare)
		if test.probation {
			sick.OpenProbation()
		} else {
			s.Pool.Suspect(sick, start.Add(time.Millisecond))
		}
		now := start.Add(time.Second)
		terms := termsOf(s)
		terms.NonIdempotent = test.nonIdempotent
		h := &attempts.History{}
		if test.tried {
			h.Tried = []*balance.Target{nil}
		}
		first := attempts.Choose(now, terms, h)
		if test.probation && first.Probation != test.want || test.want && first.Target != sick {
			t.Errorf("%s: got %+v", name, first)
		}
		if again := attempts.Choose(now, terms, h); again.Probation {
			t.Errorf("%s: two requests are on probation", name)
		}
	}
}

// TestWhatMustNotBeLostAvoidsWhereRequestsHang says so to whom it is sent, until two have refused.
func TestWhatMustNotBeLostAvoidsWhereRequestsHang(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(*attempts.Request, *attempts.History)
		hanging int
		want    bool
	}{
		"idempotent":     {change: func(*attempts.Request, *attempts.History) {}},
		"not idempotent": {change: func(terms *attempts.Request, _ *attempts.History) { terms.NonIdempotent = true }, want: true},
		"sent once":      {change: func(_ *attempts.Request, h *attempts.History) { h.Sent = 1 }, want: true},
		"no retry":       {change: func(terms *attempts.Request, _ *attempts.History) { terms.Service.RetryLeft = never }, want: true},
		"one hangs":      {change: func(terms *attempts.Request, _ *attempts.History) { terms.NonIdempotent = true }, hanging: 1, want: true},
		"two hang":       {change: func(terms *attempts.Request, _ *attempts.History) { terms.NonIdempotent = true }, hanging: 2},
		"ignored": {change: func(terms *attempts.Request, _ *attempts.History) {
			terms.NonIdempotent, terms.Service.IgnoreHanging = true, true
		}},
	} {
		s := newService(t, 3)
		terms, h := termsOf(s), &attempts.History{}
		test.change(&terms, h)
		for n := range test.hanging {
			h.Record(s.Pool.Targets()[n], result.New(result.Unproven), false)
		}
		c := attempts.Choose(start, terms, h)
		if c.Target == nil || c.RefuseIfHanging != test.want || test.want && test.hanging == 1 && c.Target == h.Hanging[0] {
			t.Errorf("%s: got %+v", name, c)
		}
	}
}

func never(time.Time) bool { return false }

// TestASuspectedOneIsAskedLast has all be suspected, and says when another look is worth it.
func TestASuspectedOneIsAskedLast(t *testing.T) {
	for name, test := range map[string]struct {
		full, subrequest bool
		after            time.Duration
		asked, again     bool
	}{
		"at once":           {asked: true, again: true},
		"while it has time": {after: 900 * time.Millisecond, asked: true, again: true},
		"without time":      {after: 950 * time.Millisecond, asked: true},
		"full queues":       {full: true},
		"full, subrequest":  {full: true, subrequest: true, asked: true},
	} {
		s := newService(t, 3)
		for _, target := range s.Pool.Targets() {
			s.Pool.Suspect(target, start.Add(time.Hour))
		}
		terms, h := termsOf(s), &attempts.History{}
		terms.Subrequest = test.subrequest
		if test.full {
			h.Record(s.Pool.Targets()[0], result.New(result.QueueFull), false)
		}
		c := attempts.Choose(start.Add(test.after), terms, h)
		if (c.Target != nil) != test.asked || test.asked && !c.DespiteSuspicion || c.RetrySelection != test.again {
			t.Errorf("%s: got %+v", name, c)
		}
	}
}

// TestNobodyIsKnown looks again, since somebody may soon be, but not once all were tried.
func TestNobodyIsKnown(t *testing.T) {
	s := newService(t, 1)
	h := &attempts.History{}
	h.Record(s.Pool.Targets()[0], result.New(result.ServerUnreachable), false)
	if c := attempts.Choose(start, termsOf(s), h); c.Target != nil || c.RetrySelection {
		t.Fatalf("got %+v after all were tried", c)
	}
	s.Pool = balance.NewPool(balance.Config{DataCentre: "dc", Random: rand.Uint64, Start: start})
	if c := attempts.Choose(start, termsOf(s), &attempts.History{}); c.Target != nil || !c.RetrySelection {
		t.Fatalf("got %+v where nobody is known", c)
	}
}
