package sidecar

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/tideliftd/tidelift/internal/detect"
	"github.com/tideliftd/tidelift/internal/hop"
)

const (
	simServers = 30
	simSpells  = 20
	simSpell   = 8 * time.Second
	simPeriod  = 20 * time.Second // between the starts of two spells
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// quickSim simulates a service whose backend servers get five long requests a second each, with the tasks
// of its sidecars and a simulated clock. A request asks random backend servers until one runs it. Each
// sidecar knows the failure rates of the others immediately.
type quickSim struct {
	quick   bool // quick failures are recognised
	failing int  // the first so many backend servers fail 85% of their requests during a spell

	random  *rand.Rand
	now     time.Time
	tasks   []*task
	others  detect.ReportedFailureRates
	running []simRun // in the order in which they end

	sent, failed    int           // first attempts during spells
	probes          int           // during spells, of failing backend servers
	unused, doubted time.Duration // suspicion after the spell, and of the others, in all
	most, refused   int           // backend servers suspected at once; requests that none ran
}

// simRun is a request that runs.
type simRun struct {
	task *task
	ends time.Time
	took time.Duration
	fail bool
}

// runQuickSim simulates simSpells spells.
func runQuickSim(quick bool, failing int) *quickSim {
	s := &quickSim{quick: quick, failing: failing, random: rand.New(rand.NewPCG(1, 2)), now: simStart}
	for n := range simServers {
		t := newTestTask()
		t.declared.BackendServer.Name = strconv.Itoa(n)
		t.declared.BackendServer.Slots = 8
		s.tasks = append(s.tasks, t)
	}
	nextTick := s.now
	for s.now.Before(simStart.Add(simSpells * simPeriod)) {
		const perSecond = 5 * simServers
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
		for ; nextTick.Before(s.now); nextTick = nextTick.Add(tickInterval) {
			s.finish(nextTick)
			s.tick(nextTick)
		}
		s.finish(s.now)
		s.request()
	}
	return s
}

// inSpell reports whether a spell is on.
func inSpell(now time.Time) bool { return now.Sub(simStart)%simPeriod < simSpell }

// request sends a request to one backend server after the other until one runs it.
func (s *quickSim) request() {
	const nonIdempotent, questions = 0.13, 4
	call := hop.Call{RefuseIfBusy: true, NonIdempotent: s.random.Float64() < nonIdempotent}
	for asked, n := range s.random.Perm(simServers) {
		call.RefuseIfHanging = call.NonIdempotent && asked < questions
		if g := offer(s.tasks[n], s.now, 1, call); g.err == nil {
			s.start(n)
			return
		}
	}
	s.refused++
}

// start starts a request, which fails within milliseconds or succeeds after its work.
func (s *quickSim) start(n int) {
	r := simRun{task: s.tasks[n], fail: s.random.Float64() < s.failureRate(n), took: 1500 * time.Microsecond}
	if !r.fail {
		r.took = time.Duration(230+s.random.IntN(570)) * time.Millisecond
	}
	r.ends = s.now.Add(r.took)
	at, _ := slices.BinarySearchFunc(s.running, r, func(a, b simRun) int { return cmp.Compare(a.ends.UnixNano(), b.ends.UnixNano()) })
	s.running = slices.Insert(s.running, at, r)
	if !inSpell(s.now) {
		return
	}
	s.sent++
	if r.fail {
		s.failed++
	}
	if n < s.failing && r.task.suspicion.Suspected() {
		s.probes++
	}
}

func (s *quickSim) failureRate(n int) float64 {
	if n < s.failing && inSpell(s.now) {
		return 0.85
	}
	return 0.012
}

// finish ends the requests that have ended by now.
func (s *quickSim) finish(now time.Time) {
	for len(s.running) > 0 && !s.running[0].ends.After(now) {
		r := s.running[0]
		s.running = s.running[1:]
		observed := detect.Observation{Outcome: detect.OK, Latency: r.took}
		if r.fail {
			observed.Outcome, observed.Quick = detect.Error, s.quick
		}
		others := s.others.Complete(r.task.declared.BackendServer.Name, detect.Baseline{})
		r.task.recordSuspicion(r.ends, observed, others)
		r.task.subject.Observe(r.ends, observed, others)
		r.task.release(r.ends, releaseMessage{took: r.took})
		s.learn()
	}
}

// learn makes the failure rates known to all.
func (s *quickSim) learn() {
	rates := make(map[string]float64)
	for _, t := range s.tasks {
		rates[t.declared.BackendServer.Name] = t.subject.FailureRate()
	}
	s.others = detect.NewReportedFailureRates(rates)
}

// tick does the periodic work of the tasks and measures suspicions.
func (s *quickSim) tick(now time.Time) {
	suspected := 0
	for n, t := range s.tasks {
		t.checkSurvivedProbe(now)
		if !t.suspicion.Suspected() {
			continue
		}
		suspected++
		switch {
		case n >= s.failing:
			s.doubted += tickInterval
		case !inSpell(now):
			s.unused += tickInterval
		}
	}
	s.most = max(s.most, suspected)
}

// TestQuickFailuresCostFewRequests guards against failing backend servers that get many requests, before they are
// suspected or as probes, and against ones that stay unused for long after they have recovered.
func TestQuickFailuresCostFewRequests(t *testing.T) {
	const failing = 10
	before, s := runQuickSim(false, failing), runQuickSim(true, failing)
	share := func(s *quickSim) float64 { return float64(s.failed) / float64(s.sent) }
	probes := func(s *quickSim) float64 { return float64(s.probes) / failing / simSpells }
	unused := func(s *quickSim) time.Duration { return s.unused / failing / simSpells }
	for name, s := range map[string]*quickSim{"not recognised": before, "recognised": s} {
		t.Logf("%s: %.3f of %d first attempts failed, %.1f probes in a spell, suspected for %s after it, %d refused",
			name, share(s), s.sent, probes(s), unused(s), s.refused)
	}
	// Ones that cost nothing would leave the 0.012 of the healthy backend servers.
	if share(s) > 0.06 || share(s) > 0.75*share(before) {
		t.Errorf("%.3f of the first attempts failed, %.3f where quick failures are not recognised", share(s), share(before))
	}
	if probes(s) > 6 {
		t.Errorf("%.1f probes of a failing backend server in a spell", probes(s))
	}
	if unused(s) > 3500*time.Millisecond {
		t.Errorf("suspected for %s after a spell", unused(s))
	}
	if s.refused > 0 {
		t.Errorf("%d requests found no backend server", s.refused)
	}
}

// TestChanceFailuresCostLittleUse guards against healthy backend servers that a single failure by chance
// keeps out of use for long.
func TestChanceFailuresCostLittleUse(t *testing.T) {
	for _, failing := range []int{0, 10} {
		s := runQuickSim(true, failing)
		share := float64(s.doubted) / float64(simSpells*simPeriod) / float64(simServers-failing)
		t.Logf("%d others fail: healthy backend servers were suspected for %.3f of the time", failing, share)
		if share > 0.05 {
			t.Errorf("%d others fail: healthy backend servers were suspected for %.3f of the time", failing, share)
		}
	}
}

// TestSharedQuickFailuresSuspectAtMostHalf guards against the suspicion of most backend servers when a
// dependency makes all of them fail quickly, which none of them can help.
func TestSharedQuickFailuresSuspectAtMostHalf(t *testing.T) {
	s := runQuickSim(true, simServers)
	t.Logf("%d of %d backend servers were suspected at once, %d requests refused", s.most, simServers, s.refused)
	if s.most > simServers/2 {
		t.Errorf("%d of %d backend servers were suspected at once", s.most, simServers)
	}
}
