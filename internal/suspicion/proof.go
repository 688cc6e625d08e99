package suspicion

import "time"

// minProofAge is the age up to which the start of a request proves that the backend server runs
// requests, however often it gets one.
const minProofAge = 300 * time.Millisecond

// proof tracks the latest request that shows that the backend server runs requests: one that has
// run for minProbeRun, since most failures come within milliseconds.
type proof struct {
	pendingStart time.Time // start of a request that may become the next proof; zero if there is none
	start        time.Time // start of the request that is the proof; zero if there is none
	lastStart    time.Time // start of the latest request, or the first query if none has started
}

// recordStart records that a request has started.
func (p *proof) recordStart(now time.Time) {
	p.update(now)
	p.lastStart = now
	if p.pendingStart.IsZero() {
		p.pendingStart = now
	}
}

// discard removes the proof after a failure.
func (p *proof) discard() { *p = proof{lastStart: p.lastStart} }

// update makes the pending request the proof if it has run for long enough.
func (p *proof) update(now time.Time) {
	if !p.pendingStart.IsZero() && now.Sub(p.pendingStart) >= minProbeRun {
		p.start, p.pendingStart = p.pendingStart, time.Time{}
	}
}

// Proven reports whether a request has recently shown that the backend server runs requests: since
// about the time that it usually goes without one, and since the last failure. Requests that must
// not be lost go to other backend servers first if it has not. If no request has started for the
// longest pause between probes, one that must not be lost may provide the proof; a service that
// has only such requests would otherwise never use the backend server again.
func (s *Suspicion) Proven(now time.Time) bool {
	s.proof.update(now)
	if s.proof.lastStart.IsZero() {
		s.proof.lastStart = now
	}
	interval := s.traffic.interval(now)
	recent := !s.proof.start.IsZero() && now.Sub(s.proof.start) <= max(minProofAge, interval)
	return recent || now.Sub(s.proof.lastStart) >= unprovenTimeout(interval)
}

// unprovenTimeout returns how long a backend server without a proof is left to other requests.
func unprovenTimeout(interval time.Duration) time.Duration {
	return min(max(nonIdempotentProbeDelay, maxProbeIntervals*interval), maxProbePauseLimit)
}
