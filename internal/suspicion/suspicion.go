// Package suspicion decides whether a backend server is avoided for a short time at the first sign
// of failure.
//
// Package detect collects evidence for seconds, since its verdict takes a backend server out of
// service. Suspicion takes none out of service: requests prefer backend servers that have recently
// succeeded, a few idempotent requests probe the suspected one, and a request that no other backend
// server accepts is sent to it anyway.
//
// The package also detects a backend server that appears to hang, long before the slow request
// ends. Non-idempotent requests should then be sent elsewhere.
//
// A Suspicion holds the state of one backend server. It takes outcomes and the time; it has no
// clock, goroutine or socket. The sidecar's task owns it. Package admission decides which requests
// a suspected backend server accepts.
//
// # Usage
//
//	s := suspicion.New()
//	s.RecordFailure(now, suspicion.BrokenConnectionWeight)
//	if s.Suspected() && s.MayProbe(now) { s.RecordProbe(now) }
//	s.RecordSuccess(now, startedAt)
//
// # Rules
//
//   - Each bad outcome adds its weight to a sum, and each success removes most of the sum. The
//     backend server is suspected once the sum reaches 1.
//   - During suspicion an idempotent request is sent as a probe after 200 ms. Each failed probe
//     doubles the pause before the next one, up to one second; a successful probe is followed by
//     the next one without a pause. If no idempotent request arrives, any other request may probe
//     after two seconds.
//   - Three consecutive successful probes end the suspicion. After a broken connection a probe
//     counts as successful once it has run for 40 ms.
//   - The backend server appears to hang (hanging.go) while a request is slow, or was recently, and
//     no later request has succeeded.
package suspicion

import "time"

// Weights of bad outcomes. A backend server is suspected once their sum reaches suspectedFrom.
const (
	// Broken is the weight of a broken connection or a corrupt response. One suffices: healthy
	// backend servers almost never cause it.
	Broken = 1.0
	// Failed is the weight of a response that indicates a failure of the backend server. Healthy
	// backend servers fail occasionally, but rarely twice in a row.
	Failed = 0.5
	// Overdue is the weight of an overdue request.
	Overdue = 0.5
	// Slow is the weight of a success that exceeded its route's latency target, or of a success
	// after the request was overdue.
	Slow = 0.4

	// suspectedFrom is the sum from which a backend server is suspected.
	suspectedFrom = 1.0
	// keptByGood is the factor that a success applies to the sum, so that failures add up only if
	// they are close to each other.
	keptByGood = 0.4
)

// Failure rates of the other backend servers. Up to usualFailing an error has its full weight; from
// commonFailing on it has none, since the cause is likely shared.
const (
	usualFailing  = 0.03
	commonFailing = 0.15
)

const (
	// goodProbes is the number of consecutive successful probes that end the suspicion. A backend
	// server that fails most requests passes two by chance too often.
	goodProbes = 3
	// survivedAfter is how long a probe has to run to count as successful after a broken
	// connection. A failing backend server breaks connections within milliseconds; a reservation's
	// request arrives one round trip after its slot was granted.
	survivedAfter = 40 * time.Millisecond
	// firstPause and longestPause bound the time between probes; each failed probe doubles it. Failed
	// probes consume the retry budget, and a recovered server should not wait for seconds.
	firstPause   = 200 * time.Millisecond
	longestPause = time.Second
	// probeLasts is how long a probe prevents further probes from being sent. It must not exceed
	// longestPause.
	probeLasts = time.Second
	// anyProbeAfter is how long a probe may be due before a non-idempotent request may be the
	// probe; anyProbeAgain is the same after a successful probe. Without it a service that has only
	// non-idempotent requests would never regain its backend servers.
	anyProbeAfter = 2 * time.Second
	anyProbeAgain = 500 * time.Millisecond
)

// FailureWeight returns the weight of a response that indicates a failure of the backend server,
// given the failure rate of the others. A failure that all backend servers share is caused by the
// requests or by a service that they all call; suspecting every backend server would leave none to
// serve.
func FailureWeight(othersFailureRate float64) float64 {
	factor := (commonFailing - othersFailureRate) / (commonFailing - usualFailing)
	return Failed * max(0, min(1, factor))
}

// Suspicion is the suspicion state of one backend server.
type Suspicion struct {
	sum       float64
	slow      float64 // part of the sum from slow outcomes
	broke     bool    // the last bad outcome was a broken connection
	suspected bool
	good      int // consecutive successful probes
	pause     time.Duration
	probeAt   time.Time // earliest time of the next probe
	probed    time.Time // time of the last probe while its outcome is unknown; zero otherwise
	survived  int       // probes counted as successful before their responses arrived
	hanging   hanging
}

// New returns a Suspicion without recorded outcomes.
func New() *Suspicion { return &Suspicion{} }

// RecordSlowness records a late or missing response with the given weight and reports whether
// suspicion begins with it.
func (s *Suspicion) RecordSlowness(now time.Time, weight float64) bool {
	s.slow += weight
	return s.RecordFailure(now, weight)
}

// RecordFailure records a bad outcome with the given weight and reports whether suspicion begins
// with it.
func (s *Suspicion) RecordFailure(now time.Time, weight float64) bool {
	s.sum += weight
	s.broke = weight >= Broken
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

// pauseProbes delays the next probe and resets the count of successful ones.
func (s *Suspicion) pauseProbes(now time.Time, pause time.Duration) {
	s.good = 0
	s.pause = pause
	s.probeAt = now.Add(pause)
}

// RecordGood records a success of a request that started at the given time and reports whether
// suspicion ends with it.
func (s *Suspicion) RecordGood(now, startedAt time.Time) bool {
	s.sum *= keptByGood
	s.slow *= keptByGood
	s.hanging.recordGood(startedAt)
	if !s.suspected {
		return false
	}
	if s.survived > 0 {
		s.survived-- // already counted by ProbeSurvived
		return false
	}
	return s.countGood(now)
}

// ProbeSurvived counts the current probe as successful if it has run for long enough and the last bad
// outcome was a broken connection. It reports whether suspicion ends with it.
func (s *Suspicion) ProbeSurvived(now time.Time) bool {
	if !s.suspected || !s.broke || s.probed.IsZero() || now.Sub(s.probed) < survivedAfter {
		return false
	}
	s.survived++
	return s.countGood(now)
}

// countGood counts a successful probe and reports whether suspicion ends with it.
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

// MostlySlow reports whether most of the sum is from late or missing responses. An idempotent
// request loses little at such a backend server, since it is hedged elsewhere in time; where
// requests fail immediately, each failure costs a retry.
func (s *Suspicion) MostlySlow() bool { return 2*s.slow > s.sum }

// GoodInARow returns the number of consecutive successful probes.
func (s *Suspicion) GoodInARow() int { return s.good }

// MayProbe reports whether an idempotent request may be sent as a probe.
func (s *Suspicion) MayProbe(now time.Time) bool { return !now.Before(s.probeAt) }

// MayProbeWithAny reports whether a probe has been due for so long without an idempotent request
// that any request may be the probe.
func (s *Suspicion) MayProbeWithAny(now time.Time) bool {
	delay := anyProbeAfter
	if s.good > 0 {
		delay = anyProbeAgain
	}
	return !now.Before(s.probeAt.Add(delay))
}

// ProbeSent records that a probe received a slot.
func (s *Suspicion) ProbeSent(now time.Time) {
	s.probeAt = now.Add(probeLasts)
	s.probed = now
}

// RetryAfter returns how long a caller that is refused because of the suspicion should wait.
func (s *Suspicion) RetryAfter(now time.Time) time.Duration {
	return max(firstPause, s.probeAt.Sub(now))
}
