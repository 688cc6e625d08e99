// Package suspicion decides whether a backend server is passed over for a moment, at the first
// sign of failing.
//
// Package detect weighs evidence and takes seconds, since what it decides takes a backend
// server out of service. Suspicion takes nothing out of service: requests go where one has
// just succeeded, a few idempotent ones find out whether the backend server is well again, and
// a request that nobody else takes is sent all the same.
//
// It also knows whether the backend server seems to hang. Requests that must not run twice
// are best sent elsewhere then, long before the slow one ends.
//
// A Suspicion is what is held against one backend server. It is given outcomes and the time; it
// has no clock, goroutine or socket. The sidecar's task owns it; which requests a suspected
// backend server takes is in package admission.
//
// # Usage
//
//	s := suspicion.New()
//	s.RecordFailure(now, suspicion.Broken)
//	if s.Suspected() && s.MayProbe(now) { s.ProbeSent(now) }
//	s.RecordGood(now, began)
//
// # Rules
//
//   - Bad outcomes add their weights, a good answer takes most of the sum away. From a sum of 1
//     on the backend server is suspected.
//   - While it is suspected, an idempotent request is sent as a probe 200 ms after it began, and
//     after a failed probe twice as long as before it, up to a second. A good one is followed
//     by the next at once. Where no idempotent request comes, another is sent after two seconds.
//   - Three good probes in a row end the suspicion. After a broken connection a probe counts as
//     good once it has run for 40 ms.
//   - The backend server seems to hang (hanging.go) while a request is slow there, or was a
//     moment ago, and no later one has been answered well.
package suspicion

import "time"

// The weights of bad outcomes; a sum of suspectedFrom makes a backend server suspected.
const (
	// BrokenConnectionWeight is the weight of a connection that broke or an answer that was spoilt: one is
	// enough. Source: a backend server that is well breaks less than one in a thousand. Of
	// 2,750 requests 585 met one that broke six in seven connections for nine seconds, while
	// the evidence of package detect took seconds.
	BrokenConnectionWeight = 1.0
	// ErrorWeight is the weight of an answer that says that the backend server failed. Source:
	// about one in eighty does at one that is well, so that two in a row are chance once in
	// six thousand.
	ErrorWeight = 0.5
	// OverdueWeight is the weight of a request that takes far longer than others. Not measured: as
	// much as a failed answer, so that two are enough.
	OverdueWeight = 0.5
	// SlowWeight is the weight of a good answer that took longer than its route's target, or to a
	// request that was overdue before. Source: at a backend server that is well a few in a
	// hundred take that long, three in a row hardly ever.
	SlowWeight = 0.4

	// suspectedFrom is the sum from which a backend server is suspected.
	suspectedFrom = 1.0
	// keptByGood is the part of the sum that a good answer leaves. Not measured: a failed
	// answer counts 0.2 after a good one, so that failures count only close to each other.
	keptByGood = 0.4
)

// The shares of failed answers of the other backend servers up to which one here has its whole
// weight, and from which it has none. Source: a backend server that is well fails about one
// answer in eighty; where a called service fails for two requests in three and a third of the
// requests call it, the share of all is a fifth.
const (
	usualFailing  = 0.03
	commonFailing = 0.15
)

const (
	// goodProbes is how many good probes in a row end the suspicion. Source: a backend server
	// that fails six in seven for nine seconds is probed some ten times; with two in a row one
	// such time in four ended the suspicion too early, with three one in thirty.
	goodProbes = 3
	// survivedAfter is how long a probe has to run to outlive connections that break. Source:
	// one that a failing backend server breaks is broken within milliseconds; a reservation's
	// request comes a round trip after its slot was granted.
	survivedAfter = 40 * time.Millisecond
	// firstPause and longestPause bound the time between probes; each that fails doubles it.
	// Source: failing probes are retries, which are a fifth of the requests at most; a server
	// that is well again should not wait for seconds.
	firstPause   = 200 * time.Millisecond
	longestPause = time.Second
	// probeLasts is how long one probe keeps others from being sent. Not measured: most
	// requests are answered within it, and it is no longer than longestPause.
	probeLasts = time.Second
	// anyProbeAfter is how long a probe may be due before one that must not run twice makes it,
	// anyProbeAgain the same after a good probe. Source: a service of which all requests are
	// such must get its backend servers back; where some are idempotent one comes within it.
	anyProbeAfter = 2 * time.Second
	anyProbeAgain = 500 * time.Millisecond
)

// ScaledErrorWeight is the weight of an answer that says that the backend server failed where that
// share of the others' answers says so too. What fails everywhere is a service that they all
// call, or the requests; suspecting them all would leave nobody to serve.
func ScaledErrorWeight(othersFailing float64) float64 {
	own := (commonFailing - othersFailing) / (commonFailing - usualFailing)
	return ErrorWeight * max(0, min(1, own))
}

// Suspicion is what is held against one backend server.
type Suspicion struct {
	sum       float64
	slow      float64 // the part of the sum that is of slow outcomes
	broke     bool    // the last bad outcome was a broken connection
	suspected bool
	good      int // good probes in a row
	pause     time.Duration
	probeAt   time.Time // from when on the next probe may be sent
	probed    time.Time // when a probe was sent of which nothing is known yet; else zero
	survived  int       // probes that were counted before their answers came
	hanging   hanging
}

// New returns the suspicion of a backend server that nothing is held against.
func New() *Suspicion { return &Suspicion{} }

// RecordSlowness records an outcome of that weight which came late or not at all, and reports
// whether suspicion begins with it.
func (s *Suspicion) RecordSlowness(now time.Time, weight float64) bool {
	s.slow += weight
	return s.RecordFailure(now, weight)
}

// RecordFailure records a bad outcome of that weight and reports whether suspicion begins with
// it.
func (s *Suspicion) RecordFailure(now time.Time, weight float64) bool {
	s.sum += weight
	s.broke = weight >= BrokenConnectionWeight
	s.probed = time.Time{}
	s.survived = 0
	if s.suspected {
		s.pauseProbes(now, min(2*s.pause, longestPause))
		return false
	}
	if s.sum < suspectedFrom {
		return false
	}
	s.suspected = true
	s.pauseProbes(now, firstPause)
	return true
}

// pauseProbes puts the next probe off, after which good ones are counted anew.
func (s *Suspicion) pauseProbes(now time.Time, pause time.Duration) {
	s.good = 0
	s.pause = pause
	s.probeAt = now.Add(pause)
}

// RecordSuccess records a good answer to a request that began then and reports whether suspicion
// ends with it.
func (s *Suspicion) RecordSuccess(now, began time.Time) bool {
	s.sum *= keptByGood
	s.slow *= keptByGood
	s.hanging.recordGood(began)
	if !s.suspected {
		return false
	}
	if s.survived > 0 {
		s.survived-- // it was counted when it had survived
		return false
	}
	return s.countGood(now)
}

// ProbeSurvived counts a probe that has run for long enough, if the last bad outcome was a
// broken connection, and reports whether suspicion ends with it.
func (s *Suspicion) ProbeSurvived(now time.Time) bool {
	if !s.suspected || !s.broke || s.probed.IsZero() || now.Sub(s.probed) < survivedAfter {
		return false
	}
	s.survived++
	return s.countGood(now)
}

// countGood counts a good probe and reports whether suspicion ends with it.
func (s *Suspicion) countGood(now time.Time) bool {
	s.probed = time.Time{}
	s.good++
	s.probeAt = now
	if s.good < goodProbes {
		return false
	}
	s.suspected = false
	s.sum = 0
	s.slow = 0
	return true
}

// Suspected reports whether the backend server is suspected.
func (s *Suspicion) Suspected() bool { return s.suspected }

// MostlySlow reports whether most of what is held against the backend server came late or not
// at all. An idempotent request loses little there, since a hedge of it is sent elsewhere
// before it is too late; where requests fail at once each costs a retry.
func (s *Suspicion) MostlySlow() bool { return 2*s.slow > s.sum }

// ConsecutiveSuccesses returns how many good probes in a row there were.
func (s *Suspicion) ConsecutiveSuccesses() int { return s.good }

// MayProbe reports whether an idempotent request may be sent as a probe.
func (s *Suspicion) MayProbe(now time.Time) bool { return !now.Before(s.probeAt) }

// MayProbeNonIdempotent reports whether no idempotent request has come for so long that any other may
// be the probe.
func (s *Suspicion) MayProbeNonIdempotent(now time.Time) bool {
	after := anyProbeAfter
	if s.good > 0 {
		after = anyProbeAgain
	}
	return !now.Before(s.probeAt.Add(after))
}

// RecordProbe records that a probe was given a slot.
func (s *Suspicion) RecordProbe(now time.Time) {
	s.probeAt = now.Add(probeLasts)
	s.probed = now
}

// RetryAfter returns when whoever is refused for the suspicion may come back.
func (s *Suspicion) RetryAfter(now time.Time) time.Duration {
	return max(firstPause, s.probeAt.Sub(now))
}
