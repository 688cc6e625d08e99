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
}

// recordStart records that a request has started.
func (p *proof) recordStart(now time.Time) {
	p.update(now)
	if p.pendingStart.IsZero() {
		p.pendingStart = now
	}
}

// update makes the pending request the proof if it has run for long enough.
func (p *proof) update(now time.Time) {
	if !p.pendingStart.IsZero() && now.Sub(p.pendingStart) >= minProbeRun {
		p.start, p.pendingStart = p.pendingStart, time.Time{}
	}
}

// Proven reports whether a request has recently shown that the backend server runs requests: since
// about the time that it usually goes without one, and since the last failure. Requests that must
// not be lost go to other backend servers first if it has not.
func (s *Suspicion) Proven(now time.Time) bool {
	s.proof.update(now)
	return !s.proof.start.IsZero() && now.Sub(s.proof.start) <= max(minProofAge, s.traffic.interval(now))
}
