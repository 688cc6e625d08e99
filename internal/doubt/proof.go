package doubt

import "time"

// proof is what the requests of a backend server show beside their outcomes: whether those
// that run take longer than they should, and no later one has been answered well.
type proof struct {
	lateBegan time.Time // when the request began that began last of those that were late
	goodBegan time.Time // the same of those that were answered well
}

// Late takes it that a running request which began then has outlasted nearly all others of
// its route.
func (d *Doubt) Late(began time.Time) {
	if began.After(d.proof.lateBegan) {
		d.proof.lateBegan = began
	}
}

// Hanging says whether a request was late of which no later one has been answered well.
// One that hangs shows that long before it ends; whatever is sent after it may hang too.
func (d *Doubt) Hanging() bool { return d.proof.lateBegan.After(d.proof.goodBegan) }

// goodSince takes it that a request which began then was answered well.
func (p *proof) goodSince(began time.Time) {
	if began.After(p.goodBegan) {
		p.goodBegan = began
	}
}
