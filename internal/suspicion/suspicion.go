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
//   - During suspicion an idempotent request is sent as a probe after a pause of about three usual
//     intervals between requests, at least 200 ms. Each failed probe doubles the pause before the
//     next one, up to about six intervals, at least one second. The fewer requests a backend server
//     gets, the fewer probes; otherwise most of the requests of a service that is spread over many
//     backend servers would be probes. A successful probe is followed by the next one without a
//     pause. If no idempotent request arrives, any other request may probe after two seconds.
//   - Three consecutive successful probes end the suspicion. After a broken connection a probe
//     counts as successful once it has run for 40 ms.
//   - One quick failure (quick.go) begins suspicion. While the suspicion began with one, or the
//     last bad outcome is one, the first probe follows after 300 ms, and each failed probe triples the
//     pause, up to 3 s. After a quick failure a probe counts as successful once it has run for 40 ms. A success of a
//     request that started before the last quick failure counts, but does not end the pause.
//   - The backend server is proven (proof.go) if a request that started recently has run for 40 ms,
//     or if none has started for so long that the next one has to show it.
//   - The backend server appears to hang (hanging.go) while a request is slow, or was recently, and
//     no later request has succeeded.
package suspicion

import "time"

// Weights of bad outcomes. A backend server is suspected once their sum reaches suspectedFrom.
const (
	// BrokenConnectionWeight is the weight of a broken connection or a corrupt response. One
	// suffices: a healthy backend server breaks fewer than one request in a thousand, and the evidence
	// of package detect takes seconds.
	BrokenConnectionWeight = 1.0
	// ErrorWeight is the weight of a response that indicates a failure of the backend server. A healthy
	// one gives about one in eighty, so that two in a row are chance once in six thousand.
	ErrorWeight = 0.5
	// OverdueWeight is the weight of an overdue request; two suffice.
	OverdueWeight = 0.5
	// SlowWeight is the weight of a success that exceeded its route's latency target, or of a success
	// after the request was overdue; three suffice. A healthy backend server gives a few in a hundred,
	// but hardly ever three in a row.
	SlowWeight = 0.4

	// suspectedFrom is the sum from which a backend server is suspected.
	suspectedFrom = 1.0
	// successDecay is the factor that a success applies to the sum, so that failures add up only if
	// they are close to each other: an error counts 0.2 after a success.
	successDecay = 0.4
)

// Failure rates of the other backend servers. Up to normalFailureRate an error has its full weight; from
// sharedFailureRate on it has none, since the cause is likely shared: a called service that fails two
// requests in three, and that a third of the requests call, makes it a fifth; healthy is 1 in 80.
const (
	normalFailureRate = 0.03
	sharedFailureRate = 0.15
)

const (
	// requiredProbes is the number of consecutive successful probes that end the suspicion. A backend
	// server that fails most requests passes two by chance too often.
	requiredProbes = 3
	// minProbeRun is how long a probe has to run to count as successful after a broken
	// connection. A failing backend server breaks connections within milliseconds; a reservation's
	// request arrives one round trip after its slot was granted.
	minProbeRun = 40 * time.Millisecond
	// minProbePause and maxProbePause bound the time between probes of a backend server that gets many
	// requests; each failed probe doubles it. Failed probes consume the retry budget, and a recovered
	// server should not wait for seconds.
	minProbePause = 200 * time.Millisecond
	maxProbePause = time.Second
	// minProbeIntervals and maxProbeIntervals are the same bounds in usual intervals between
	// requests. They are in force if they are longer, up to minProbePauseLimit and
	// maxProbePauseLimit.
	minProbeIntervals  = 3
	maxProbeIntervals  = 6
	minProbePauseLimit = 2 * time.Second
	maxProbePauseLimit = 5 * time.Second
	// probeExclusion is how long a probe prevents further probes from being sent. Most requests are
	// answered within it. It must not exceed maxProbePause.
	probeExclusion = time.Second
	// nonIdempotentProbeDelay is how long a probe may be due before a non-idempotent request may be
	// the probe; nonIdempotentReprobeDelay is the same after a successful probe. Without it a service
	// that has only non-idempotent requests would never regain its backend servers.
	nonIdempotentProbeDelay   = 2 * time.Second
	nonIdempotentReprobeDelay = 500 * time.Millisecond
)

// ScaledErrorWeight returns the weight of a response that indicates a failure of the backend server,
// given the failure rate of the others. A failure that all backend servers share is caused by the
// requests or by a service that they all call; suspecting every backend server would leave none to
// serve.
func ScaledErrorWeight(othersFailureRate float64) float64 {
	return ErrorWeight * unsharedShare(othersFailureRate)
}

// unsharedShare returns the share of the weight that a failure keeps, given the failure rate of the others.
func unsharedShare(othersFailureRate float64) float64 {
	factor := (sharedFailureRate - othersFailureRate) / (sharedFailureRate - normalFailureRate)
	return max(0, min(1, factor))
}

// Suspicion is the suspicion state of one backend server.
type Suspicion struct {
	sum             float64
	slowSum         float64 // part of the sum from slow outcomes
	connectionBroke bool    // the last bad outcome was a broken connection
	quick           quick
	suspected       bool
	successes       int // consecutive successful probes
	pause           time.Duration
	nextProbe       time.Time     // earliest time of the next probe
	pendingProbe    time.Time     // time of the last probe while its outcome is unknown; zero otherwise
	survivedProbes  int           // probes counted as successful before their responses arrived
	interval        time.Duration // usual time between requests when the suspicion began; zero if unknown
	traffic         traffic
	proof           proof
	hanging         hanging
}

// New returns a Suspicion without recorded outcomes.
func New() *Suspicion { return &Suspicion{} }

// RecordSlowness records a late or missing response with the given weight and reports whether
// suspicion begins with it.
func (s *Suspicion) RecordSlowness(now time.Time, weight float64) bool {
	s.slowSum += weight
	return s.RecordFailure(now, weight)
}

// RecordFailure records a bad outcome with the given weight and reports whether suspicion begins
// with it.
func (s *Suspicion) RecordFailure(now time.Time, weight float64) bool {
	s.connectionBroke = weight >= BrokenConnectionWeight
	s.quick.last = false
	return s.recordFailure(now, weight)
}

// recordFailure adds the weight of a bad outcome, whose kind has been recorded.
func (s *Suspicion) recordFailure(now time.Time, weight float64) bool {
	s.sum += weight
	s.pendingProbe = time.Time{}
	s.survivedProbes = 0
	s.proof.discard()
	if s.suspected {
		s.pauseProbes(now, s.nextPause(now))
		return false
	}
	if s.sum < suspectedFrom {
		return false
	}
	s.suspected = true
	s.quick.began = s.quick.last
	s.interval = s.traffic.interval(now)
	s.pauseProbes(now, s.shortestPause(now))
	return true
}

// shortestPause returns the pause before the first probe.
func (s *Suspicion) shortestPause(now time.Time) time.Duration {
	if s.quick.decides() {
		return quickFirstPause
	}
	return min(max(minProbePause, minProbeIntervals*s.usualInterval(now)), minProbePauseLimit)
}

// nextPause returns the pause after a failed probe.
func (s *Suspicion) nextPause(now time.Time) time.Duration {
	if s.quick.decides() {
		return min(quickPauseFactor*s.pause, quickLongestPause)
	}
	return min(2*s.pause, s.longestPause(now))
}

// longestPause returns the maximum pause between two probes.
func (s *Suspicion) longestPause(now time.Time) time.Duration {
	return min(max(maxProbePause, maxProbeIntervals*s.usualInterval(now)), maxProbePauseLimit)
}

// usualInterval returns the usual time between requests, or zero if it is not known or does not
// matter: a slow backend server serves its probes, too. During a suspicion fewer are offered.
func (s *Suspicion) usualInterval(now time.Time) time.Duration {
	switch {
	case s.MostlySlow():
		return 0
	case s.interval > 0:
		return s.interval
	default:
		return s.traffic.interval(now)
	}
}

// RecordOffer records that a request was offered to the backend server, whether it accepts it or not.
func (s *Suspicion) RecordOffer(now time.Time) { s.traffic.record(now) }

// RecordStart records that a request has started.
func (s *Suspicion) RecordStart(now time.Time) { s.proof.recordStart(now) }

// pauseProbes delays the next probe and resets the count of successful ones.
func (s *Suspicion) pauseProbes(now time.Time, pause time.Duration) {
	s.successes = 0
	s.pause = pause
	s.nextProbe = now.Add(pause)
}

// RecordSuccess records a success of a request that started at the given time and reports whether
// suspicion ends with it.
func (s *Suspicion) RecordSuccess(now, startedAt time.Time) bool {
	s.sum *= successDecay
	s.slowSum *= successDecay
	s.hanging.recordSuccess(startedAt)
	if !s.suspected {
		return false
	}
	if s.quick.decides() && startedAt.Before(s.quick.lastAt) {
		return s.addSuccess() // it shows little about now, so that the pause before the next probe stays
	}
	if s.survivedProbes > 0 {
		s.survivedProbes-- // already counted by ProbeSurvived
		return false
	}
	return s.countSuccess(now)
}

// ProbeSurvived counts the current probe as successful if it has run for long enough and the backend
// server fails within milliseconds: the last bad outcome was a broken connection or a quick failure. It
// reports whether suspicion ends with it.
func (s *Suspicion) ProbeSurvived(now time.Time) bool {
	failsAtOnce := s.connectionBroke || s.quick.last
	if !s.suspected || !failsAtOnce || s.pendingProbe.IsZero() || now.Sub(s.pendingProbe) < minProbeRun {
		return false
	}
	s.survivedProbes++
	return s.countSuccess(now)
}

// countSuccess counts a successful probe and reports whether suspicion ends with it.
func (s *Suspicion) countSuccess(now time.Time) bool {
	s.pendingProbe = time.Time{}
	s.nextProbe = now
	return s.addSuccess()
}

// addSuccess adds to the consecutive successes and reports whether suspicion ends with it.
func (s *Suspicion) addSuccess() bool {
	s.successes++
	if s.successes < requiredProbes {
		return false
	}
	s.suspected = false
	s.sum = 0
	s.slowSum = 0
	return true
}

// Suspected reports whether the backend server is suspected.
func (s *Suspicion) Suspected() bool { return s.suspected }

// MostlySlow reports whether most of the sum is from late or missing responses. An idempotent
// request loses little at such a backend server, since it is hedged elsewhere in time; where
// requests fail immediately, each failure costs a retry.
func (s *Suspicion) MostlySlow() bool { return 2*s.slowSum > s.sum }

// ConsecutiveSuccesses returns the number of consecutive successful probes.
func (s *Suspicion) ConsecutiveSuccesses() int { return s.successes }

// MayProbe reports whether an idempotent request may be sent as a probe.
func (s *Suspicion) MayProbe(now time.Time) bool { return !now.Before(s.nextProbe) }

// MayProbeNonIdempotent reports whether a probe has been due for so long without an idempotent request
// that any request may be the probe.
func (s *Suspicion) MayProbeNonIdempotent(now time.Time) bool {
	delay := nonIdempotentProbeDelay
	if s.successes > 0 {
		delay = nonIdempotentReprobeDelay
	}
	return !now.Before(s.nextProbe.Add(delay))
}

// RecordProbe records that a probe received a slot.
func (s *Suspicion) RecordProbe(now time.Time) {
	s.nextProbe = now.Add(probeExclusion)
	s.pendingProbe = now
}

// RecordNotSent records that a request that had received a slot was not sent to the backend server, so
// that it shows nothing. If it was a probe, the next one is due.
func (s *Suspicion) RecordNotSent(now time.Time) {
	s.proof.pendingStart = time.Time{}
	if s.suspected && !s.pendingProbe.IsZero() {
		s.pendingProbe = time.Time{}
		s.nextProbe = now
	}
}

// RetryAfter returns how long a caller that is refused because of the suspicion should wait.
func (s *Suspicion) RetryAfter(now time.Time) time.Duration {
	return max(minProbePause, s.nextProbe.Sub(now))
}
