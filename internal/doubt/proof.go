package doubt

import "time"

const (
	// survives is how long a request has to run to be a proof. Source: one that a
	// failing backend server breaks is broken within milliseconds; a ticket's
	// request comes a round trip after its slot was granted.
	survives = 40 * time.Millisecond
	// keptBegun bounds how many beginnings are remembered.
	keptBegun = 8
)

// proof is when the backend server last showed that it is well. A bad outcome
// makes it void.
type proof struct {
	begun    []time.Time // when the last requests were given their slots
	lastGood time.Time   // when the last good answer came
}

// began takes it that a request was given a slot.
func (p *proof) began(now time.Time) {
	p.begun = append(p.begun, now)
	p.begun = p.begun[max(0, len(p.begun)-keptBegun):]
}

// last returns when the last proof was, be it a good answer or the beginning of a
// request that has run for long enough.
func (p *proof) last(now time.Time) time.Time {
	last := p.lastGood
	for _, at := range p.begun {
		if now.Sub(at) >= survives && at.After(last) {
			last = at
		}
	}
	return last
}

// Began takes it that a request was given a slot.
func (d *Doubt) Began(now time.Time) { d.proof.began(now) }

// ProofAge returns how old the last proof is that the backend server is well.
func (d *Doubt) ProofAge(now time.Time) time.Duration { return now.Sub(d.proof.last(now)) }
